Feature: A request that is not repeatable runs at most once over processes

  A posting is a request whose field repeatable is false.

  Background:
    Given a cluster of daemons over processes

  Scenario Outline: An entry VM is killed on the way
    Given every server takes 1 s to run a posting
    And the store <answers>
    When the posting is sent to entry-1 in the background
    And <step>
    And entry-1 is killed
    And the store releases its held answers
    And the posting is sent to entry-2
    And the posting is sent to entry-3
    Then <ran>

    Examples:
      | answers                     | step                             | ran                 |
      | holds its answers to writes | its claim is stored              | it never ran        |
      | answers at once             | the posting has started to run   | it ran exactly once |
      | answers at once             | entry-1 has answered the posting | it ran exactly once |

  Scenario Outline: The reply of a server is lost
    Given the next reply of every server has the fault <fault>
    When the posting is sent to entry-1
    Then it ran exactly once
    And the last caller was told that the outcome is unknown
    When the posting is sent to entry-2
    Then it ran exactly once
    And the last caller was told that the outcome is unknown

    Examples:
      | fault            |
      | lose_replies     |
      | truncate_replies |
      | failed_replies   |
      | foreign_replies  |

  Scenario Outline: Every server refuses, then takes it
    Given every server is reconfigured with {"<refusal>": <value>, "said_leaving": false}
    When the posting is sent to entry-1
    Then every caller was told not-run with error refused-by-servers
    And it never ran
    Given every server is set to {"<refusal>": <back>} and listed as restarted
    When the posting is sent to entry-2 until it is answered
    Then it ran exactly once

    Examples:
      | refusal    | value | back  |
      | shed_share | 1     | 0     |
      | leaving    | true  | false |

  Scenario: Servers whose health says that they leave are not asked
    Given every server is reconfigured with {"leaving": true}
    When the posting is sent to entry-1 until it is told no-server
    Then it never ran

  Scenario Outline: A failure domain is cut off
    When failure domain mazowsze-b is cut off by <mode>
    And the posting is sent to entry-2
    Then every caller was told not-run with error store-unavailable
    And it never ran
    When the posting is sent to entry-1
    Then it ran as often as its callers' replies allow
    When failure domain mazowsze-b is joined again
    And the posting is sent to every entry VM at once
    Then it ran as often as its callers' replies allow

    Examples:
      | mode |
      | drop |
      | hold |

  Scenario: Postings survive a storm of faults
    When 120 postings are sent repeatedly while seeded faults are injected
    Then none ran twice, and none ran whose callers were all told not-run
