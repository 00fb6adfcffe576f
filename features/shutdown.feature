Feature: Graceful shutdown runs in order; a second request changes nothing

  Scenario: A node is healthy only once it has a configuration and servers
    Given a node with a balancer lag of 5 s and a shutdown limit of 90 s
    When the clock reaches 1 s
    Then no health has been reported to the balancer
    When a configuration takes effect at 1.5 s
    And a server that holds half the key space is polled at 1.6 s
    Then no health has been reported to the balancer
    When a server that holds the other half is polled at 2 s
    Then the health reported to the balancer is "healthy at 2 s"
    When a configuration takes effect at 3 s
    And shutdown is requested at 4 s
    And a configuration takes effect at 5 s
    Then the health reported to the balancer is "healthy at 2 s, leaving at 4 s"

  Scenario: Servers that can't be had are not waited for long
    Given a node with a balancer lag of 5 s and a shutdown limit of 90 s
    When a configuration takes effect at 2 s
    And the clock reaches 11.9 s
    Then no health has been reported to the balancer
    When the clock reaches 12 s
    Then the health reported to the balancer is "healthy at 12 s"

  Scenario: A shutdown before the node is ready is not put off until then
    Given a node with a balancer lag of 5 s and a shutdown limit of 90 s
    When a configuration takes effect at 2 s
    And shutdown is requested at 3 s
    And the clock reaches 8 s
    Then at 8 s its admission is closed

  Scenario: Servers without a connection for this node are not had
    Given a node with a balancer lag of 5 s and a shutdown limit of 90 s
    When a configuration takes effect at 1 s
    And a server that holds the whole key space is polled at 2 s without a connection share
    Then no health has been reported to the balancer

  Scenario: Each step waits for the one before
    Given a node with a balancer lag of 5 s and a shutdown limit of 90 s
    When shutdown is requested at 0 s
    Then at 0 s it reports that it is leaving
    When shutdown is requested at 3 s
    And the clock reaches 4.9 s
    Then the node has emitted nothing else
    When the clock reaches 5 s
    Then at 5 s its admission is closed
    When its requests are drained at 12 s
    Then at 12 s it releases its connections
    When its connections are closed at 13 s
    Then at 13 s its process stops

  Scenario: The limit ends what doesn't end by itself
    Given a node with a balancer lag of 5 s and a shutdown limit of 90 s
    When shutdown is requested at 0 s
    And the clock reaches 5 s
    And shutdown is requested at 89 s
    And the clock reaches 89.9 s
    Then at 5 s its admission is closed
    When the clock reaches 90 s
    Then at 90 s its process stops
    When its requests are drained at 91 s
    And its connections are closed at 92 s
    Then at 90 s its process stops

  Scenario: Requests that are drained before the lag is over don't end it
    Given a node with a balancer lag of 5 s and a shutdown limit of 90 s
    When shutdown is requested at 0 s
    And its requests are drained at 1 s
    And its connections are closed at 2 s
    Then at 0 s it reports that it is leaving
