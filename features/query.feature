Feature: A query is answered in full from one snapshot

  Scenario: Both services of an index answer a query whole
    Given an entry node with 2 services of 2 replicas each
    When a caller sends a query
    Then the query is answered in full from snapshot 1

  Scenario Outline: A profile with a delay of <delay_s> s may send extra legs
    Given a profile with a delay of <delay_s> s and an extra load of 0.05
    When 40 first legs are sent at 0 s, and replied to in reverse order by <replied_s> s
    Then 2 extra legs are granted at <replied_s> s
    And none is granted once the first legs are 10 s old

    Examples:
      | delay_s | replied_s |
      | 1       | 0.5       |
      | 10      | 8         |
      | 30      | 9         |

  Scenario: A leg that positively did not run is placed again
    Given an entry node with 2 services of 2 replicas each
    And the backend server ink-0-0 is unreachable
    And the backend server ink-1-1 is not-held
    When a caller sends a query
    Then the query is answered in full from snapshot 1

  Scenario: The newest snapshot that is held whole is chosen
    Given an entry node with 2 services of 2 replicas each
    And snapshot 2 is rolled out to service 0 only
    When a caller sends a query
    Then the query is answered in full from snapshot 1
    When snapshot 2 is rolled out to service 1 as well
    And a caller sends a query
    Then the query is answered in full from snapshot 2

  Scenario: A request that is not repeatable is claimed, sent and recorded
    Given an entry node with 1 services of 2 replicas each
    When a caller posts the request pay-1
    Then the claim of pay-1 is requested and no leg is sent
    When the claim of pay-1 is granted
    Then pay-1 is run once and its outcome answered is recorded

  Scenario: A posting whose answer is lost is never sent again
    Given an entry node with 1 services of 2 replicas each
    And every backend server is resetting connections
    When a caller posts the request pay-1
    And the claim of pay-1 is granted
    Then pay-1 is run once and its outcome unknown is recorded

  Scenario: A posting that a server refused is sent to another
    Given an entry node with 1 services of 2 replicas each
    And the backend server ink-0-0 is overloaded
    When a caller posts the request pay-1
    And the claim of pay-1 is granted
    Then pay-1 is run once and its outcome answered is recorded

  Scenario: A second caller with a posting's id is told of the first
    Given an entry node with 1 services of 2 replicas each
    When a caller posts the request pay-1
    And another caller posts the request pay-1
    Then the other caller is answered with claimed-elsewhere
    When the claim of pay-1 is granted
    Then pay-1 is run once and its outcome answered is recorded

  Scenario: The outcome of a posting is recorded though its caller has gone
    Given an entry node with 1 services of 2 replicas each
    When a caller posts the request pay-1
    And the caller disconnects
    And the claim of pay-1 is granted
    Then the outcome answered of pay-1 is recorded and no caller is answered

  Scenario: A late outcome is recorded though the caller was told unknown
    Given an entry node with 1 services of 2 replicas each
    And every backend server takes 1.0 s
    When a caller posts the request pay-1
    And the claim of pay-1 is granted
    Then the outcome answered of pay-1 is recorded after the answer unknown

  Scenario: A node that closes is drained once its last request has ended
    Given an entry node with 2 services of 2 replicas each
    When a caller sends a query that is still in progress
    And admission is closed
    Then the node is not drained yet
    When the query has ended
    Then the query is answered in full from snapshot 1
    And the node is drained

  Scenario: A replica that lies about its holdings is not asked over and over
    Given an entry node with 2 services of 2 replicas each
    And the backend server ink-0-0 reports a shard that it does not hold
    When 200 queries are sent in 20 s
    Then all are answered in full and ink-0-0 gets at most 8 legs

  Scenario: A server that calls itself leaving gets no further leg
    Given an entry node with 2 services of 2 replicas each
    And the backend server ink-0-0 is leaving
    When 20 queries are sent in 1 s
    Then all are answered in full and ink-0-0 gets at most 1 legs

  Scenario: A leaving server's replica that was never polled takes its place
    Given an entry node with 2 services of 2 replicas each
    And the health of the backend server ink-0-1 was never polled
    And the backend server ink-0-0 is leaving
    When a caller sends a query
    Then the query is answered in full from snapshot 1

  Scenario: Lower ranks are shed before any work while the first is served
    Given an entry node with 2 services of 2 replicas each and two ranks
    When requests arrive for 5 s at twice the rate that the slots can serve
    Then at least 99 % of the first rank's requests are answered in full
    And the second rank's requests are answered in full or refused as overloaded

  Scenario: A request that expires while it waits for admission is not run
    Given an entry node with 2 services of 2 replicas each and two ranks
    And every backend server is unresponsive
    When 4 queries are in progress and one that expires in 0.05 s is queued
    Then the queued one is refused as expired once a slot is free

  Scenario Outline: With <switch> off the node still answers
    Given an entry node with 2 services of 2 replicas each without <switch>
    When 20 queries are sent in 1 s
    Then all are answered in full

    Examples:
      | switch            |
      | hedging           |
      | choose_by_load    |
      | admission_by_rank |
      | ejection          |
