Feature: Wide queries are divided among the nodes of a failure domain

  Scenario: Each shard of a wide query is asked by one node
    Given a fleet of 12 nodes in 3 failure domains and 48 shards
    When a query arrives at each node of a domain
    Then each query's shards are divided, each queried exactly once
    And all nodes of the domain agree on the owner of a shard

  Scenario: A narrow query, or a small domain, is asked from the node itself
    Given a fleet of 12 nodes in 3 failure domains and 20 shards
    When a query arrives at each node of a domain
    Then no shard is delegated
    Given a fleet of 6 nodes in 3 failure domains and 48 shards
    When a query arrives at each node of a domain
    Then no shard is delegated

  Scenario: Few nodes own the shards of a set, however many there are
    Given a fleet of 300 nodes in 3 failure domains and 48 shards
    When a query arrives at each node of a domain
    Then each query is divided among at most 6 nodes

  Scenario: Shards held elsewhere are asked by their owners there
    Given a fleet of 12 nodes in 3 failure domains and 48 shards
    And the replicas of each shard are in one of the other domains
    When a query arrives at each node of a domain
    Then each shard is queried by a node of the domain that holds it
    And all nodes of the domain agree on the owner of a shard
    And each query is divided among at most 6 nodes

  Scenario: When a node fails only its own shards move
    Given a fleet of 12 nodes in 3 failure domains and 48 shards
    When a query arrives, and its first peer fails
    And another query arrives
    Then only the shards of that peer have moved
    And that peer was probed at once
    When that peer answers its probe
    And another query arrives
    Then that peer gets the same shards again

  Scenario: A peer that is about to end is asked no more, at no caller's cost
    Given a fleet of 12 nodes in 3 failure domains and 48 shards
    When a query arrives, and its first peer refuses it
    Then the node queries its shards directly
    When another query arrives
    Then nothing is delegated to that peer
    When 1.5 s later another query arrives
    Then that peer gets the same shards again

  Scenario: A peer that does not acknowledge a query loses it to others at once
    Given a fleet of 12 nodes in 3 failure domains and 48 shards
    When a query arrives, and its first peer has not acknowledged it after 0.03 s
    Then that peer's shards are queried once more elsewhere, and its query is cancelled
    And that peer was probed at once
    When another query arrives
    Then nothing is delegated to that peer

  Scenario: A peer is checked only once, and only while its answer is due
    Given a fleet of 12 nodes in 3 failure domains and 48 shards
    When a query arrives, and all of its peers answer after 0.02 s
    Then no peer is checked
    When another query arrives, and 0.1 s pass
    Then each peer is checked once

  Scenario: A peer that is silent past the objective is probed
    Given a fleet of 12 nodes in 3 failure domains and 48 shards
    When a query arrives and has no reply at its objective
    Then its peers were probed

  Scenario: A peer whose query was cancelled keeps its shards
    Given a fleet of 12 nodes in 3 failure domains and 48 shards
    When a query arrives, and its caller leaves after 0.05 s
    And another query arrives
    Then that peer gets the same shards again

  Scenario: A peer that answers others keeps its shards though it is overdue
    Given a fleet of 12 nodes in 3 failure domains and 48 shards
    When a query arrives, and its caller leaves after 0.15 s, when its peers have answered another
    And another query arrives
    Then that peer gets the same shards again

  Scenario: A peer that is overdue and silent loses its shards
    Given a fleet of 12 nodes in 3 failure domains and 48 shards
    When a query arrives, and its caller leaves after 0.15 s
    And another query arrives
    Then nothing is delegated to that peer

  Scenario: A failed peer is probed on, however many others are in doubt
    Given a fleet of 12 nodes in 3 failure domains and 48 shards
    When a query arrives, and its first peer fails
    And that peer does not answer its probe
    And for 1.2 s a query arrives every 0.05 s and gets no reply
    Then that peer was probed 3 times

  Scenario Outline: Connections of all nodes together keep to the limit
    Given a fleet of <nodes> nodes in 3 failure domains and 48 shards
    When each replica accepts <accepted> connections
    Then all nodes together may open at most <accepted> to a replica
    And the owner of a shard may open as many as a replica has slots

    Examples:
      | nodes | accepted |
      | 36    | 67       |
      | 12    | 26       |
      | 6     | 26       |

  Scenario Outline: Connections keep to the limit if not all domains hold a shard
    Given a fleet of <nodes> nodes in 3 failure domains and 48 shards
    And each shard has a replica in two of the domains
    When each replica accepts <accepted> connections
    Then all nodes together may open at most <accepted> to a replica
    And the owner of a shard may open as many as a replica has slots

    Examples:
      | nodes | accepted |
      | 78    | 120      |
      | 36    | 67       |
