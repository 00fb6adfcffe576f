Feature: Queries over shards are answered in time, and nearly whole, under load

  The replicas pause for 150 ms each 3.6 s, are 2.5 times slower in 15% of the
  time, and have speeds of 0.8 to 1.3. An answer earns the square of its share
  of the shards, and a twentieth of that once it is late.

  Scenario: Each decision earns its part in a fleet with little processor time
    Given 36 nodes with timers up to 15 ms late, and 90 shards of 3 replicas
    When queries with an objective of 177 ms are played by these rules
      | rules            |
      | former           |
      | former hedging   |
      | former slack     |
      | former lateness  |
      | new              |
    Then by the new rules at least 0.97 are in time and earn 0.91
    And the new rules earn 0.25 more than "former"
    And the new rules earn 0.01 more than "former hedging"
    And the new rules earn 0.005 more than "former slack"
    And the new rules earn 0.08 more than "former lateness"

  Scenario Outline: Queries over few shards of a small fleet don't lose
    Given 4 nodes with timers up to <late> ms late, and 20 shards of 2 replicas
    When queries with an objective of <objective> ms are played by these rules
      | rules  |
      | former |
      | new    |
    Then the new rules earn <more> more than "former"

    Examples:
      | late | objective | more |
      | 0    | 150       | 0.03 |
      | 15   | 150       | 0.2  |
      | 0    | 250       | 0.0  |
      | 15   | 250       | 0.0  |

  Scenario: Early hedges don't take the room of a small fleet that lacks it
    Given 4 nodes with timers up to 3 ms late, and 20 shards of 2 replicas
    And 80 queries a second over shards that usually take 30 ms
    When queries with an objective of 150 ms are played by these rules
      | rules          |
      | former hedging |
      | new            |
    Then the new rules send at most 0.015 more extra attempts than "former hedging"

  Scenario: What was late long ago, or once, makes no query due earlier
    Given answers of peers and timers that were 12 ms late 7 times
    Then a query is due 6 ms before its objective, and its peers 2.4 ms before
    Given answers of peers and timers that were 12 ms late 8 times
    Then a query is due 15 ms before its objective, and its peers 12 ms before
    Given answers of peers and timers that were 500 ms late 8 times
    Then a query is due 50 ms before its objective, and its peers 40 ms before
    When 61 s have passed
    Then a query is due 6 ms before its objective, and its peers 2.4 ms before
