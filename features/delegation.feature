Feature: Nodes understand each other, also while they are replaced

  Scenario: What a peer answers comes back as it was
    When a peer's answer of 2 shards is written and read
    Then it is the answer that was written

  Scenario: A query that a peer can't read has not run
    When a peer answers a query with status 400
    Then the query was refused and has not run

  Scenario: A peer that answers garbage may have run the query
    When a peer answers a query with status 200
    Then the query has failed and may have run

  Scenario: A query of another form is told apart by its path
    When a node is sent a query of an older form
    Then it says that it can't read it
