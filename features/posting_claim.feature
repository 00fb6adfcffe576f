Feature: A request that is not repeatable is claimed over processes

  A posting is a request whose field repeatable is false.

  Background:
    Given a cluster of daemons over processes

  Scenario: Four entry VMs get the same posting at once
    When the posting is sent to every entry VM at once
    Then it ran exactly once
    And a caller was told the outcome answered
    When the posting is sent to every entry VM in turn
    Then it ran exactly once
    And every entry VM eventually replies with the outcome answered
    And it ran exactly once

  Scenario Outline: The store loses answers after its writes took effect
    When the store loses its next <lost> answers to writes
    And the posting is sent to <entries>
    Then it ran as often as its callers' replies allow

    Examples:
      | lost | entries                   |
      | 1    | entry-1                   |
      | 2    | entry-1                   |
      | 5    | every entry VM at once    |

  Scenario Outline: The store is out of service before the claim
    When the store's outage mode is <outage>
    And the posting is sent to every entry VM at once
    Then every caller was told not-run with error store-unavailable
    And it never ran
    When the store's outage mode is none
    And the posting is sent to every entry VM in turn
    Then it ran exactly once

    Examples:
      | outage |
      | refuse |
      | hang   |

  Scenario: The store goes out of service while the posting runs
    Given every server takes 1 s to run a posting
    When the posting is sent to entry-1 in the background
    And the posting has started to run
    And the store's outage mode is refuse
    And the posting is sent to entry-2
    Then the last caller was told not-run or unknown
    When entry-1 has answered the posting
    And the store's outage mode is none
    And the posting is sent to entry-3
    Then it ran exactly once

  Scenario: An entry VM is frozen past the expiry between claim and send
    Given the store holds its answers to writes
    When a posting that expires in 3 s is sent to entry-1 in the background
    And its claim is stored
    And entry-1 is frozen until the posting has expired
    And the store releases its held answers
    And entry-1 is thawed
    And entry-1 has answered the posting
    Then it never ran
    And no backend server refused a leg as expired

  Scenario: The store's answer to a claim is held past the expiry
    Given the store holds its answers to writes
    When a posting that expires in 3 s is sent to entry-1 in the background
    And its claim is stored
    And the store's outage mode is hang
    And the posting has expired
    And the store releases its held answers
    And the store's outage mode is none
    And entry-1 has answered the posting
    Then it never ran
    And no backend server refused a leg as expired
