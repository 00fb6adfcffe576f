Feature: Requests go to the replica with the lowest estimated cost

  Scenario Outline: A request crosses failure domains for what is worth it
    Given a local and a remote replica of a <kind> with an objective of 100 ms
    When the local replica is <slower> ms slower than the remote one
    Then the <chosen> replica is chosen

    Examples:
      | kind          | slower | chosen |
      | shard         | 20     | local  |
      | shard         | 80     | remote |
      | whole request | 2      | local  |
      | whole request | 20     | remote |

  Scenario: A replica that sheds load is left before the retries are used up
    Given a query route over 20 shards with a local and a remote replica each
    When 40 queries a second arrive for 9 s and local replicas refuse 3 in 5
    Then at least 0.95 of the queries were answered whole and in time
    And the retries stayed within the budget

  Scenario Outline: Slow replicas of some shards don't delay the other hedges
    Given latencies of which <share> are 200 ms and the others 30 ms
    Then with an objective of 180 ms a hedge is sent after at most 90 ms

    Examples:
      | share |
      | 0     |
      | 0.2   |
      | 0.4   |

  Scenario Outline: A shard is hedged early while little of the budget is used
    Given latencies of which 0.4 are 200 ms and the others 30 ms
    Then with <use> of the budget used a shard is hedged after <from> to <to> ms

    Examples:
      | use | from | to  |
      | 0.2 | 30   | 40  |
      | 0.7 | 75   | 75  |
      | 1.0 | 144  | 144 |

  Scenario Outline: No hedge is sent whose reply the answer can't include
    When <replies> of 20 shards have replied in 30 ms each, and <left> ms are left
    Then with 2 to spare a hedge is of <use>

    Examples:
      | replies | left | use    |
      | 19      | 40   | use    |
      | 19      | 20   | no use |
      | 10      | 20   | use    |
