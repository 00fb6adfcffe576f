Feature: Wide queries are divided among the nodes of a failure domain

  Scenario: Each shard of a wide query is asked by one node
    Given a fleet of 12 nodes in 3 failure domains and 48 shards
    When a query arrives at each node of a domain
    Then each query's shards are divided, none is left out or asked twice
    And all nodes of the domain leave a shard to the same node

  Scenario: A narrow query, or a small domain, is asked from the node itself
    Given a fleet of 12 nodes in 3 failure domains and 20 shards
    When a query arrives at each node of a domain
    Then no peer is asked
    Given a fleet of 6 nodes in 3 failure domains and 48 shards
    When a query arrives at each node of a domain
    Then no peer is asked

  Scenario: Few nodes own the shards of a set, however many there are
    Given a fleet of 300 nodes in 3 failure domains and 48 shards
    When a query arrives at each node of a domain
    Then each query is left to at most 6 nodes

  Scenario: When a node fails only its own shards move
    Given a fleet of 12 nodes in 3 failure domains and 48 shards
    When a query arrives, and its first peer breaks off
    And another query arrives
    Then the shards of that peer moved and no others did
    And that peer was probed at once
    When that peer answers its probe
    And another query arrives
    Then that peer is asked again

  Scenario: A peer that is about to end is asked no more, at no caller's cost
    Given a fleet of 12 nodes in 3 failure domains and 48 shards
    When a query arrives, and its first peer refuses it
    Then its shards are asked from the node itself
    When another query arrives
    Then that peer is not asked
    When 1.5 s later another query arrives
    Then that peer is asked again

  Scenario: A peer that is silent past the objective is probed
    Given a fleet of 12 nodes in 3 failure domains and 48 shards
    When a query arrives and stays without an answer past its objective
    Then its peers were probed

  Scenario: A failed peer is probed on, however many others are in doubt
    Given a fleet of 12 nodes in 3 failure domains and 48 shards
    When a query arrives, and its first peer breaks off
    And that peer does not answer its probe
    And for 1.2 s a query arrives each 0.05 s and stays without an answer
    Then that peer was probed 3 times

  Scenario Outline: Connections of all nodes together keep to the limit
    Given a fleet of <nodes> nodes in 3 failure domains and 48 shards
    When each replica accepts <accepted> connections
    Then all nodes together may open at most <accepted> to a replica
    And the owner of a shard may open as many as its replicas have slots

    Examples:
      | nodes | accepted |
      | 36    | 67       |
      | 12    | 26       |
      | 6     | 26       |
