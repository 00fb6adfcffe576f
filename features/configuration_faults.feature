Feature: A configuration holds over separate processes and faults

  Scenario: Two operators race on one profile
    Given four entry VMs run as processes with an accepted profile
    When two operators change that profile at the same moment
    Then one of them is told of the conflict and of the other's change
    And the winner's change is in force at all four and nothing else changed

  Scenario: The store is down right after it accepted
    Given four entry VMs run as processes with an accepted profile
    When a change is accepted while only domain "mazowsze-a" reaches the store
    And the store is down from then on
    Then that change is in force at all four within 10 s

  Scenario: A domain is cut from the platform but not from its peers
    Given four entry VMs run as processes with an accepted profile
    When domain "mazowsze-b" is cut from the store and the list
    And a change is accepted
    Then that change is in force at all four within 10 s

  Scenario: A domain is cut from all and then healed
    Given four entry VMs run as processes with an accepted profile
    When domain "mazowsze-c" is cut from everything
    And a change is accepted whose operator waits 5 s
    Then the operator is told that "mazowsze-c" is not confirmed
    And domain "mazowsze-c" still holds the configuration before it
    When domain "mazowsze-c" is healed
    Then that change is in force at all four within 10 s

  Scenario: Every VM of a domain is replaced while the store is down
    Given four entry VMs run as processes with an accepted profile
    When the store is down
    And every VM of domain "mazowsze-a" is replaced
    Then the accepted profile is in force at all four within 10 s

  Scenario: A node is frozen over a change and a restore of the store
    Given four entry VMs run as processes with an accepted profile
    When "entry-3" is frozen
    And a change is accepted whose operator waits 1 s
    And the store is restored to the state before it
    And "entry-3" goes on
    Then that change is in force at all four within 20 s
    And the store holds that change again within 20 s
    And no node ever reported a lower revision than before
