Feature: A configuration holds over separate processes and faults

  Scenario: Two operators race on one profile
    Given four entry VMs run as processes with an accepted profile
    When two operators change that profile at the same moment
    Then one of them gets a conflict that lists the other's change
    And the accepted change is in force at all four and no profile was added

  Scenario: The store is down right after it accepted
    Given four entry VMs run as processes with an accepted profile
    When a change is accepted while only domain "mazowsze-a" reaches the store
    And the store goes down
    Then that change is in force at all four within 10 s

  Scenario: A domain is cut from the platform but not from its peers
    Given four entry VMs run as processes with an accepted profile
    When domain "mazowsze-b" loses its links to the store and the VM list
    And a change is accepted
    Then that change is in force at all four within 10 s

  Scenario: A domain is cut from all and then healed
    Given four entry VMs run as processes with an accepted profile
    When domain "mazowsze-c" loses its links to all others
    And an operator submits a change and waits 5 s for it
    Then the operator is told that "mazowsze-c" is not confirmed
    And domain "mazowsze-c" still has the previous configuration in force
    When the links of domain "mazowsze-c" are restored
    Then that change is in force at all four within 10 s

  Scenario: Every VM of a domain is replaced while the store is down
    Given four entry VMs run as processes with an accepted profile
    When the store is down
    And every VM of domain "mazowsze-a" is replaced
    Then the accepted profile is in force at all four within 10 s

  Scenario: A node is frozen over a change and a restore of the store
    Given four entry VMs run as processes with an accepted profile
    When the process of "entry-3" is frozen
    And an operator submits a change and waits 1 s for it
    And the store is restored to its snapshot from before the change
    And the process of "entry-3" resumes
    Then that change is in force at all four within 20 s
    And the store holds that change again within 20 s
    And no node reported a lower revision after a higher one
