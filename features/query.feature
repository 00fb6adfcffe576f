Feature: A query gets one whole answer of one snapshot

  Scenario: Both services of an index answer a query whole
    Given an entry node with 2 services of 2 replicas each
    When a caller sends a query
    Then the query is answered whole from snapshot 1

  Scenario: A leg that positively did not run is placed again
    Given an entry node with 2 services of 2 replicas each
    And the backend server ink-0-0 is cut
    And the backend server ink-1-1 is not-held
    When a caller sends a query
    Then the query is answered whole from snapshot 1

  Scenario: The newest snapshot that is held whole is chosen
    Given an entry node with 2 services of 2 replicas each
    And snapshot 2 is rolled out to service 0 only
    When a caller sends a query
    Then the query is answered whole from snapshot 1
    When snapshot 2 is rolled out to service 1 as well
    And a caller sends a query
    Then the query is answered whole from snapshot 2

  Scenario: A request that is not repeatable is claimed, sent and recorded
    Given an entry node with 1 services of 2 replicas each
    When a caller posts the request pay-1
    Then the claim of pay-1 is asked for and nothing is sent
    When the claim of pay-1 is granted
    Then pay-1 ran once and its outcome answered is recorded
