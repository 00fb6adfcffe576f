Feature: Shards that are late at a peer still reach an answer that needs them

  Scenario: A peer answers in time what it has, and names what is pending
    Given a node that a peer asks for 4 shards within 100 ms
    When 2 shards reply and 100 ms pass
    Then the peer got 2 shards, with the names of the 2 pending ones

  Scenario: Pending shards are given to the peer that resumes its query
    Given a node that a peer asks for 4 shards within 100 ms
    When 2 shards reply and 100 ms pass
    And the peer resumes the query
    And the pending shards reply
    Then the peer got the other 2 shards
    And each shard was sent the query once

  Scenario: A reply that comes before the query is resumed is not lost
    Given a node that a peer asks for 4 shards within 100 ms
    When 2 shards reply and 100 ms pass
    And the pending shards reply
    And the peer resumes the query
    Then the peer got the other 2 shards

  Scenario: Work for a peer that doesn't resume its query ends soon
    Given a node that a peer asks for 4 shards within 100 ms
    When 2 shards reply and 100 ms pass
    And 250 ms pass
    Then the pending attempts were cancelled
    And each shard was sent the query once
    When the peer resumes the query
    Then it is told that the query has failed and may have run

  Scenario: A query whose minimum coverage is met is answered at its objective
    Given a query over 48 shards of which 2 are pending at peers at its objective
    Then it was answered with 46 shards at its objective
    And it was answered as soon as its peers had
    And no peer was asked again

  Scenario: A query below its minimum coverage waits for pending shards
    Given a query over 48 shards of which 20 are pending at peers at its objective
    Then it is not answered at its objective
    And each peer with pending shards was asked again, for these alone
    When the peers give the pending shards
    Then it was answered once the minimum coverage of 36 shards was met

  Scenario: Pending shards that are lost are not asked for a third time
    Given a query over 48 shards of which 20 are pending at peers at its objective
    When the peers fail before any byte was sent
    Then it was answered "too few shards" as maybe run
    And no shard pending at a peer was queried from here

  Scenario: Two queries with the same id are resumed apart
    Given a node that a peer asks for 4 shards within 100 ms
    And a query with the same id for 2 of the shards
    When a shard of each query replies and 100 ms pass
    And the peer resumes both queries
    And the pending shards reply
    Then each query got its own shards

  Scenario Outline: A peer's answer that doesn't fit the question is not merged
    Given a query over 48 shards that was sent to their owners
    When one owner's answer has <fault> and the others answer whole
    Then the answer misses the shards of that owner alone

    Examples:
      | fault             |
      | a digest twice    |
      | a shard too many  |
      | a shard too few   |
      | a shard not asked |
