Feature: A node leaves in order and a second request changes nothing

  Scenario: A node is healthy only once it has a configuration and servers
    Given a node with a balancer's lag of 5 s and a limit of 90 s
    When time comes to 1 s
    Then the balancer was told ""
    When a configuration comes into force at 1.5 s
    And a server of half the key space answers at 1.6 s
    Then the balancer was told ""
    When a server of the other half answers at 2 s
    Then the balancer was told "healthy at 2 s"
    When a configuration comes into force at 3 s
    And it is asked to end at 4 s
    And a configuration comes into force at 5 s
    Then the balancer was told "healthy at 2 s, leaving at 4 s"

  Scenario: Servers that can't be had are not waited for long
    Given a node with a balancer's lag of 5 s and a limit of 90 s
    When a configuration comes into force at 2 s
    And time comes to 11.9 s
    Then the balancer was told ""
    When time comes to 12 s
    Then the balancer was told "healthy at 12 s"

  Scenario: Servers without a connection for this node are not had
    Given a node with a balancer's lag of 5 s and a limit of 90 s
    When a configuration comes into force at 1 s
    And a server of all the key space answers at 2 s, but has no connection
    Then the balancer was told ""

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
