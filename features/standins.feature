Feature: The stand-ins behave as the platform and its servers do

  Scenario: The stand-in store swaps only over the expected version
    Given a stand-in store
    When key "a/b" is put as "one" over version 0
    And key "a/b" is put as "two" over version 0
    Then the last put is refused and shows "one"
    When key "a/b" is deleted over version 1
    And key "a/b" is put as "three" over version 0
    Then the last put is accepted at a version above 1

  Scenario: A stand-in watch answers on a change or after its time
    Given a stand-in store
    When a watch waits for key "k" after version 0 for 5 s
    Then the watch has not answered
    When key "k" is put as "one" over version 0
    Then the watch answers with "one"
    When a watch waits for key "k" after version 1 for 5 s
    And 5 s pass at the stand-ins
    Then the watch answers with "one"
    And the stand-in store counted 2 watches, 0 reads and 1 writes

  Scenario: The stand-in store refuses what is over its rate
    Given a stand-in store with 3 writes a second
    When 5 puts arrive at once at the stand-in store
    Then 3 of them are accepted and 2 are throttled without effect

  Scenario: A lease of the stand-in store lapses unless renewed
    Given a stand-in store
    When a lease of 4 s is taken
    And 3 s pass at the stand-ins
    Then the lease can be renewed
    When 3 s pass at the stand-ins
    Then the lease can be renewed
    When 5 s pass at the stand-ins
    Then the lease cannot be renewed

  Scenario Outline: The stand-in store in an outage has no effect
    Given a stand-in store
    When the stand-in store is told {"outage": "<outage>"}
    And key "k" is put as "one" over version 0
    Then the last put got status <status>
    And key "k" of the stand-in store is absent

    Examples:
      | outage | status |
      | refuse | 503    |
      | hang   | none   |

  Scenario: The stand-in store loses answers after the effect
    Given a stand-in store
    When the stand-in store is told {"lose_answers": 1}
    And key "k" is put as "one" over version 0
    Then the last put got status none
    And key "k" of the stand-in store holds "one"

  Scenario: The stand-in list of VMs lags
    Given a stand-in list of VMs that lags 4 s
    When VM "x" is added to the stand-in list
    Then the stand-in list shows no VM "x"
    When 4 s pass at the stand-ins
    Then the stand-in list shows VM "x" as live
    When VM "x" is marked as leaving in the stand-in list
    Then the stand-in list shows VM "x" as live
    When 4 s pass at the stand-ins
    Then the stand-in list shows VM "x" as leaving

  Scenario: A stand-in server runs as many legs as it has slots
    Given a stand-in server with {"slots": 2, "queue_limit": 1, "spread": 0}
    When legs a, b, c and d arrive at the stand-in server
    Then leg d is refused as overloaded
    And legs a and b have begun to run and leg c has not
    When 0.002 s pass at the stand-ins
    And 0.002 s pass at the stand-ins
    Then legs a, b and c are answered with the rows of their range

  Scenario: A cancelled leg frees its slot and never runs if it waited
    Given a stand-in server with {"slots": 1, "spread": 0}
    When legs a, b and c arrive at the stand-in server
    And leg b is cancelled at the stand-in server
    And leg a is cancelled at the stand-in server
    And 0.002 s pass at the stand-ins
    Then leg c is answered with the rows of its range
    And the stand-in server never ran leg b

  Scenario: A stand-in server starts nothing late
    Given a stand-in server with {"slots": 1, "median_ms": 80, "spread": 0}
    When legs a, b and c arrive at the stand-in server
    And 0.08 s pass at the stand-ins
    And 0.02 s pass at the stand-ins
    Then leg c is refused as deadline
    And the stand-in server never ran leg c

  Scenario: A leaving stand-in server refuses new legs and ends those running
    Given a stand-in server with {"slots": 1, "spread": 0}
    When legs a arrive at the stand-in server
    And the stand-in server is told {"leaving": true, "said_leaving": false}
    And legs b arrive at the stand-in server
    And 0.002 s pass at the stand-ins
    Then leg a is answered with the rows of its range
    And leg b is refused as leaving
    And the stand-in server's health does not tell that it is leaving

  Scenario Outline: A stand-in server that is slow takes longer
    Given a stand-in server with {"slots": 1, "spread": 0, <slow>}
    When legs a arrive at the stand-in server
    And 0.015 s pass at the stand-ins
    Then leg a has not been answered
    When 0.006 s pass at the stand-ins
    Then leg a is answered with the rows of its range

    Examples:
      | slow                               |
      | "straggle_factor": 10              |
      | "cold_s": 60000, "cold_factor": 10 |

  Scenario: Processes of stand-ins are limited, cut and repartitioned
    Given stand-ins for a small fleet as processes
    Then a server closes connections beyond its limit and counts them
    And a cut failure domain reaches no server outside until it is joined
    And ranges moved between two servers are served by the other
    And the store keeps its keys over a kill
