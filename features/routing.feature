Feature: Requests are routed to replicas by the rules of their routes

  Scenario: The longest prefix of the host finds the route
    Given routes with the prefixes "/a/" and "/a/b/" to "one" and "two"
    Then the path "/a/x" is routed to "one"
    And the path "/a/b/x" is routed to "two"
    And the path "/b/x" is answered "no route"

  Scenario: Before the first configuration a request has not run
    Given a router without a configuration
    When a request arrives
    And 0.3 s pass
    Then it is answered "not configured" as not run
    And the answer allows a retry within 1 s
    When a request arrives
    Then it is answered "not configured" as not run

  Scenario: A request at a node that was just started waits for its configuration
    Given a router without a configuration
    When a request arrives
    And 0.05 s pass
    Then it is not answered yet
    When the store lists a configuration and a replica
    Then the request was sent to the replica
    And the time that it waited is not left to the replica

  Scenario: A caller that leaves a node that was just started is forgotten
    Given a router without a configuration
    When a request arrives
    And its caller disconnects
    And the store lists a configuration and a replica
    Then nothing was sent

  Scenario: A peer's query is not kept by a node that was just started
    Given a router without a configuration
    When a peer's query arrives
    Then it is answered "not configured" as not run

  Scenario: A request that is not idempotent is never sent twice
    Given a non-idempotent route to 3 replicas
    When a request arrives
    And its attempt fails after it was sent
    Then it is answered "replica failed" as maybe run
    And it was sent once

  Scenario: A request that a replica refused is sent to another
    Given a non-idempotent route to 3 replicas
    When a request arrives
    And its attempt is refused as overloaded
    And the next attempt gets a reply
    Then the reply is forwarded
    And it was sent 2 times

  Scenario: A refused request that nobody takes has not run
    Given a non-idempotent route to 1 replica
    When a request arrives
    And every attempt is refused as overloaded
    Then it is answered "refused" as not run

  Scenario: A success without a digest is no answer
    Given a non-idempotent route to 1 replica
    When a request arrives
    And its attempt is answered 200 without a digest
    Then it is answered "replica failed" as maybe run

  Scenario: A replica's own failure is forwarded as it is
    Given a non-idempotent route to 1 replica
    When a request arrives
    And its attempt is answered 500 with a digest
    Then the reply with status 500 is forwarded

  Scenario: Late attempts of idempotent requests are hedged, within the attempts
    Given an idempotent route to 3 replicas
    When a request arrives
    And 0.5 s pass
    Then it was sent 2 times
    And it went to 2 different replicas

  Scenario: A caller that leaves stops the work at once
    Given a query route over 4 shards
    When a request arrives
    And its caller disconnects
    Then each of its attempts is cancelled at once

  Scenario: The time that is left is handed on
    Given an idempotent route to 1 replica
    When a request arrives 0.3 s after it was sent with a timeout of 1 s
    Then its attempt has a deadline of 0.69 s

  Scenario: Shares of a split route are kept
    Given a route with weights 3 and 1 for "one" and "two"
    When 40 requests arrive
    Then "one" got 30 of them and "two" got 10

  Scenario: A query is merged from the greatest records of all shards
    Given a query route over 4 shards
    When a request arrives
    And each shard replies with records of its own
    Then the answer has the greatest records of all, in descending order
    And the answer has 4 digests and misses 0 shards

  Scenario: At the objective a query is answered with what is in
    Given a query route over 4 shards
    When a request arrives
    And 3 shards reply
    And 0.1 s pass
    Then the answer has 3 digests and misses 1 shards

  Scenario: Below the floor a query waits beyond its objective
    Given a query route over 4 shards
    When a request arrives
    And 2 shards reply
    And 0.15 s pass
    Then it is not answered yet
    When the next shard replies
    Then the answer has 3 digests and misses 1 shards

  Scenario: A query that can't reach its floor is given up at once
    Given a query route over 4 shards, without replicas for 2
    When a request arrives
    Then it is answered "no replica" as not run

  Scenario: Shards whose replicas were set aside are not waited for
    Given a query route over 4 shards
    And the replicas of one shard are ejected
    When a request arrives
    And the 3 other shards reply
    Then the answer has 3 digests and misses 1 shards

  Scenario: A query that only failing replicas could complete is not held
    Given a query route over 4 shards
    And the replicas of one shard are ejected
    And the replicas of another shard are ejected
    When a request arrives
    And 2 shards reply
    And 0.1 s pass
    Then it is answered "too few shards" as maybe run

  Scenario: An answer never mixes the shards of two configurations
    Given a query route over 4 shards
    When a request arrives
    And a configuration names 5 other shards for the route
    And each shard replies with records of its own
    Then the answer has 4 digests and misses 0 shards

  Scenario: A configuration never goes back
    Given an idempotent route to 1 replica
    When an older configuration without the route is read
    And a request arrives
    Then it was sent once

  Scenario Outline: The objective leaves time for the ways to a caller <way_s> s away
    Given a query route over 4 shards
    When a request arrives that took <way_s> s, as its answer will
    And 3 shards reply
    And <wait_s> s pass
    Then it is not answered yet
    When 0.004 s pass
    Then the answer has 3 digests and misses 1 shards

    Examples:
      | way_s | wait_s |
      | 0.001 | 0.090  |
      | 0.003 | 0.086  |
      | 0.020 | 0.052  |
