Feature: Shards are hedged early only where queries lack them

  Scenario Outline: Early hedges cross failure domains though queries are complete
    Given 20 queries a second of which <pending> in 20 were due with shards pending
    Then shards are hedged early: <early>

    Examples:
      | pending | early |
      | 0       | no    |
      | 10      | yes   |
      | 20      | yes   |

  Scenario: Early hedges go on after queries are complete again
    Given 20 queries a second of which 20 in 20 were due with shards pending
    When 10 s pass without a query
    Then shards are hedged early: no

  Scenario: One route's queries make those of another be hedged early
    Given 20 queries a second of which 20 in 20 were due with shards pending
    Then shards of another route are hedged early: no
