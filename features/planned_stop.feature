Feature: A planned stop answers what callers have sent

  Scenario: Connections that wait to be accepted are served
    Given a listener whose core answers at once
    When 40 callers connect and send a request, and the listener is drained before it has accepted them
    Then each of them gets its answer, and then the connection is closed
    And the listener is drained

  Scenario: A request that is half received is read on and answered
    Given a listener whose core answers at once
    When a caller sends half of a request and the listener is drained
    And the other half is sent 0.4 s later
    Then each of them gets its answer, and then the connection is closed
    And the listener is drained

  Scenario: Requests sent ahead behind one under way are answered
    Given a listener whose core answers when told
    When a caller sends 3 requests ahead and the listener is drained
    Then the listener is not drained for 0.3 s
    When the core answers all
    Then each of them gets its answer, and then the connection is closed
    And the listener is drained

  Scenario: Idle connections are closed, and no new ones accepted
    Given a listener whose core answers at once
    When a caller that sends nothing is connected and the listener is drained
    Then its connection is closed cleanly
    And the listener is drained
    And a further caller can't connect

  Scenario: The process stops once callers' connections are closed
    Given a routing node that drains its callers for at most 6 s
    When the node gets two shutdown requests
    Then it accepts callers' connections for 3 s
    And it stops only once callers' connections are closed

  Scenario: A connection that never ends doesn't hold up the stop
    Given a routing node that drains its callers for at most 6 s
    When the node gets two shutdown requests
    Then it stops within 6 s though callers' connections stay open
