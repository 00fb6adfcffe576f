Feature: A request that is not repeatable runs at most once over processes

  Background:
    Given a cluster of daemons over processes

  Scenario Outline: An entry VM is killed on the way
    Given postings run for 1 s at the servers
    And the store <answers>
    When the posting is begun at entry-1
    And <step>
    And entry-1 is killed
    And the store lets its answers go
    And the posting is sent to entry-2
    And the posting is sent to entry-3
    Then <ran>

    Examples:
      | answers                     | step                                     | ran                 |
      | holds its answers to writes | its claim is seen in the store           | it never ran        |
      | answers at once             | the posting is seen to run               | it ran exactly once |
      | answers at once             | the posting begun at entry-1 is answered | it ran exactly once |

  Scenario Outline: The reply of a server is lost
    Given the next reply of every server is told to <fault>
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
    Given every server is now told {"<refusal>": <value>}
    When the posting is sent to entry-1
    Then every caller was told not-run as refused-by-servers
    And it never ran
    Given every server is told {"<refusal>": <back>} and listed as restarted
    When the posting is sent to entry-2 until it is answered
    Then it ran exactly once

    Examples:
      | refusal    | value | back  |
      | shed_share | 1     | 0     |
      | leaving    | true  | false |

  Scenario Outline: A failure domain is cut off
    When failure domain mazowsze-b is cut off by <mode>
    And the posting is sent to entry-2
    Then every caller was told not-run as store-unavailable
    And it never ran
    When the posting is sent to entry-1
    Then it ran as its callers were told
    When failure domain mazowsze-b is joined again
    And the posting is sent to every entry VM at once
    Then it ran as its callers were told

    Examples:
      | mode |
      | drop |
      | hold |

  Scenario: Postings survive a storm of faults
    When 120 postings are sent and sent again through seeded faults
    Then none ran twice, and none ran of which every caller was told not-run
