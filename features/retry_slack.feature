Feature: The retry slack is divided so that it can be spent, and never exceeded

  Scenario: Most of the slack of a divided set is for the first owners
    Given 36 nodes in 3 failure domains that know 40 shards and a plain service, with a slack of 250
    Then each node may spend 1 of 36 parts of the plain service's slack
    And each node may spend 0.2 of 36 parts of a shard's slack
    When the nodes have been confirmed by the store for 21 s
    Then one node of each domain may spend 0.8 of 3 parts more of a shard's slack
    When the store has been away for 11 s
    Then each node may spend 0.2 of 36 parts of a shard's slack
    When the nodes have been confirmed by the store for 19 s
    Then each node may spend 0.2 of 36 parts of a shard's slack

  Scenario Outline: A node that is no owner can still repeat one request
    Then of <nodes> nodes with a slack of <slack> each may spend <least> to <most> of it alone

    Examples:
      | nodes | slack | least | most |
      | 12    | 188   | 2.8   | 2.9  |
      | 36    | 188   | 1.0   | 1.1  |
      | 74    | 188   | 1.0   | 1.1  |
      | 300   | 188   | 0.1   | 0.2  |

  Scenario: In any window the extra sends of all nodes are within ratio and slack
    Then over random memberships, cuts, restarts and lags the extra sends stay within ratio and slack

  Scenario Outline: Seeds at which a node that was started again took the set for undivided
    Then over the memberships of seed <seed> the extra sends stay within ratio and slack

    Examples:
      | seed |
      | 543  |
      | 2224 |

  Scenario: A node that missed that another one was the owner waits
    Then a node that was cut off while another one was the owner spends only after a window and 10 s

  Scenario: A new set of shards is left without hedges until its owners settle
    Given 36 nodes in 3 failure domains that know 40 shards and a plain service, with a slack of 250
    When the nodes have been confirmed by the store for 21 s
    And a configuration names 40 other shards
    Then one node of each domain may spend 0.4 of 3 parts more of a new shard's slack

  Scenario: A new set of shards is hedged twice, by a former and a new owner
    Given 36 nodes in 3 failure domains that know 40 shards and a plain service, with a slack of 250
    When the nodes have been confirmed by the store for 21 s
    And a node joins, and a configuration names 40 other shards
    Then each old node of its domain may spend at most 1 of 36 parts of a new shard's slack
