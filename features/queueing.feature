Feature: Requests to a service are sent, wait or are refused by rank and account

  Scenario Outline: A request is decided on before it is sent
    Given a service whose replicas refused <age> ms ago, with room after 20 ms
    When a request gives way to <level> ranks with <left> ms left to wait
    Then the decision is to <action>

    Examples:
      | age | level | left | action |
      | 30  | 0     | 25   | send   |
      | 5   | 0     | 25   | wait   |
      | 25  | 1     | 25   | wait   |
      | 5   | 1     | 25   | refuse |
      | 5   | 0     | 12   | wait   |
      | 5   | 0     | 6    | send   |

  Scenario: Decisions keep to the time left and to the order of ranks
    Then no decision waits beyond the time left or prefers a lower rank

  Scenario: A request that no replica has room for waits and is served
    Given a service with 2 replicas that refuse a request
    When room comes back after 15 ms
    Then the request was sent again and is served
    And a wait was logged and counted

  Scenario: A wait ends by a quarter of the objective
    Given a service with 2 replicas that refuse a request
    When the replicas refuse for 1 s
    Then it was refused within 25 ms as not run

  Scenario: A caller that leaves while its request waits is forgotten
    Given a service with 2 replicas that refuse a request
    When its caller leaves
    Then nothing is sent within 1 s

  Scenario: A node that ends answers what waits without sending it
    Given a node 20 ms from its end with full replicas and a request waiting
    When the node ends
    Then the one that waits was not sent and has not run

  Scenario: A higher rank that came later is sent first
    Given a service with 2 replicas that are full
    When requests of rank 2, 1 and 0 wait and room comes back
    Then the request of rank 0 is sent first

  Scenario: Nothing waits a second after the last refusal
    Given a service with 2 replicas that are full
    Then after 1.1 s without a request 4 are sent at once

  Scenario: A lower rank leaves the rest of the retry budget to a higher one
    Given a service with a retry budget of 10 that ranks 0 and 1 use
    When requests of rank 1 are refused until they are not sent again
    Then a request of rank 0 is still sent again

  Scenario: Queries over shards give way by rank, and no rank is shut out
    Given an admission limit that queries of rank 0 keep full
    Then queries of rank 1 are admitted less often than those of rank 0
    And queries of rank 2 are admitted less often than those of rank 1
    And at least a tenth of the queries of each rank is admitted

  Scenario: An account that surges leaves room for queries of the others
    Given an admission limit that one of 10 accounts fills
    Then at least 0.95 of those of each other account are admitted

  Scenario: Refused callers don't return together
    Then times to return differ and are at most a third of the time left

  Scenario: On a calm day nothing waits and nothing is refused
    Given 35 nodes that see 1 request a second each
    When the requests take 0.05 s on 12 slots for 20 s
    Then no request waited or was refused

  Scenario: A burst over 35 nodes is served by room, and no account is shut out
    Given 86 accounts that send over 35 nodes
    When they send 2.5 times as many from second 10 to 25
    Then at least 0.65 of the requests in the burst were served
    And refusals came within 50 ms as not run
    And each account was served at least a quarter as often as all
    And at least 0.95 of those from 2 s after the burst were served

  Scenario: An account that sends 6 times as much is refused rather than others
    Given 86 accounts that send over 35 nodes
    When the largest sends 6 times as many from second 10 to 25
    Then the others were served at least 0.1 more often than the largest
    And each account was served at least a quarter as often as all

  Scenario Outline: Higher ranks are served first, and none is shut out
    Given 20, 40 and 40 requests a second of ranks 0, 1 and 2 over <nodes> nodes
    When the requests take 0.15 s on 12 slots for 20 s
    Then at least <first> of rank 0 were served
    And each rank was served less often than the one above it
    And at least <last> of rank 2 were served
    And refusals came within 50 ms as not run

    Examples:
      | nodes | first | last |
      | 1     | 0.9   | 0.3  |
      | 35    | 0.8   | 0.35 |

  Scenario: Callers that return as told keep being served, and none is shut out
    Given 86 accounts that send over 1 nodes and return
    When they send 4 times as many from second 10 to 25
    Then each account was served at least a quarter as often as all

  Scenario: A node keeps a limit for each part of a set that peers delegate
    Then asking whether parts of a set lack room creates no admission limit
