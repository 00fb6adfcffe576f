Feature: A node leaves in order and a second request changes nothing

  Scenario: A node is healthy only once a configuration is in force
    Given a node with a balancer's lag of 5 s and a limit of 90 s
    When time comes to 1 s
    Then the balancer was told ""
    When a configuration comes into force at 2 s
    Then the balancer was told "healthy at 2 s"
    When a configuration comes into force at 3 s
    And it is asked to end at 4 s
    And a configuration comes into force at 5 s
    Then the balancer was told "healthy at 2 s, leaving at 4 s"

  Scenario: Each step waits for the one before
    Given a node with a balancer's lag of 5 s and a limit of 90 s
    When it is asked to end at 0 s
    Then at 0 s it reports itself as leaving
    When it is asked to end at 3 s
    And time comes to 4.9 s
    Then nothing more has happened to the leaving node
    When time comes to 5 s
    Then at 5 s its admission is closed
    When its requests are drained at 12 s
    Then at 12 s it gives up its connections
    When its connections are closed at 13 s
    Then at 13 s its process stops

  Scenario: The limit ends what doesn't end by itself
    Given a node with a balancer's lag of 5 s and a limit of 90 s
    When it is asked to end at 0 s
    And time comes to 5 s
    And it is asked to end at 89 s
    And time comes to 89.9 s
    Then at 5 s its admission is closed
    When time comes to 90 s
    Then at 90 s its process stops
    When its requests are drained at 91 s
    And its connections are closed at 92 s
    Then at 90 s its process stops

  Scenario: Requests that are drained before the lag is over don't end it
    Given a node with a balancer's lag of 5 s and a limit of 90 s
    When it is asked to end at 0 s
    And its requests are drained at 1 s
    And its connections are closed at 2 s
    Then at 0 s it reports itself as leaving
