Feature: A request that is not repeatable is claimed over processes

  Background:
    Given a cluster of daemons over processes

  Scenario: Four entry VMs get the same posting at once
    When the posting is sent to every entry VM at once
    Then it ran exactly once
    And a caller was told that it is answered
    When the posting is sent to every entry VM in turn
    Then it ran exactly once
    And every entry VM comes to tell that it is answered
    And it ran exactly once

  Scenario Outline: The store loses answers after its writes took effect
    When the store loses its next <lost> answers to writes
    And the posting is sent to <entries>
    Then it ran as its callers were told

    Examples:
      | lost | entries                   |
      | 1    | entry-1                   |
      | 2    | entry-1                   |
      | 5    | every entry VM at once    |

  Scenario Outline: The store is out of service before the claim
    When the store's outage is <outage>
    And the posting is sent to every entry VM at once
    Then every caller was told not-run as store-unavailable
    And it never ran
    When the store's outage is none
    And the posting is sent to every entry VM in turn
    Then it ran exactly once

    Examples:
      | outage |
      | refuse |
      | hang   |

  Scenario: The store goes out of service while the posting runs
    Given postings run for 1 s at the servers
    When the posting is begun at entry-1
    And the posting is seen to run
    And the store's outage is refuse
    And the posting is sent to entry-2
    Then the last caller was told not-run or unknown
    When the posting begun at entry-1 is answered
    And the store's outage is none
    And the posting is sent to entry-3
    Then it ran exactly once

  Scenario: An entry VM is frozen past the expiry between claim and send
    Given the store holds its answers to writes
    When a posting that expires in 3 s is begun at entry-1
    And its claim is seen in the store
    And entry-1 is frozen until the posting has expired
    And the store lets its answers go
    And entry-1 is thawed
    And the posting begun at entry-1 is answered
    Then it never ran
    And no backend server saw its leg

  Scenario: The store's answer to a claim is held past the expiry
    Given the store holds its answers to writes
    When a posting that expires in 3 s is begun at entry-1
    And its claim is seen in the store
    And the store's outage is hang
    And the posting has expired
    And the store lets its answers go
    And the store's outage is none
    And the posting begun at entry-1 is answered
    Then it never ran
    And no backend server saw its leg
