Feature: Nodes of different versions can delegate queries to each other

  Scenario: What a peer answers comes back as it was
    When a peer's answer for 2 shards is encoded and decoded
    Then the decoded answer equals the original

  Scenario: A query that a peer can't read has not run
    When a peer answers a query with status 400
    Then the query was refused and has not run

  Scenario: A peer that answers garbage may have run the query
    When a peer answers a query with status 200
    Then the query has failed and may have run

  Scenario: A query of another form is told apart by its path
    When a node gets a query of an older protocol version
    Then it rejects the query as malformed

  Scenario: A query that waited for a connection tells the time that is left
    Given all connections to a scripted peer are in use
    When a query with 10 s left waits 0.3 s for a connection
    Then the peer is told that at most 9.7 s are left, also to the objective

  Scenario: A query that its peer's kernel has not acknowledged is reported
    Given a peer that accepts connections and reads nothing
    When a query of 16 MiB is sent to it and checked
    Then the query is reported as not acknowledged

  Scenario: A query that its peer has received is not reported
    Given a scripted peer
    When a query is sent to it, received and checked
    Then nothing is reported
