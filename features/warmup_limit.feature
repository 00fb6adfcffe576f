Feature: A cold replica gets few requests from all nodes together

  Scenario: Nodes that know different memberships send too much to a cold replica
    Then over random histories of nodes a cold replica gets at most its limit

  Scenario Outline: A cold replica is starved by its limit: <nodes> nodes
    Given <nodes> nodes that have known each other for a minute
    Then together they may send at least 6 of 20 requests to a cold replica

    Examples:
      | nodes |
      | 1     |
      | 35    |
      | 300   |

  Scenario: A node outside the shard's owners uses up a cold replica's limit
    Given 35 nodes that have known each other for a minute
    Then only owners of a shard of 90 may send to a cold replica of it

  Scenario: A node that starts, or that knows no store, sends to a cold replica
    Given 35 nodes that have known each other for a minute
    Then a node that was just listed may send nothing
    And a node whose store was confirmed 11 s ago may send nothing

  Scenario Outline: A replica counts as cold for too short a time: <told>
    Given a replica whose entry says that it is cold for 3 s
    When its answer says "<told>" after 1 s
    Then it is cold for <left> s more

    Examples:
      | told | left |
      | none | 2    |
      | 500  | 2    |
      | 8000 | 8    |
      | junk | 2    |
      | -1   | 2    |

  Scenario Outline: The header of a replica's load is misread: <value>
    Then a load of "<value>" is decoded as "<load>"

    Examples:
      | value             | load        |
      | 1,2,4             | 1 2 4 None  |
      | 1, 2 ,4, 250      | 1 2 4 2.5   |
      | 0,0,2,100.5       | 0 0 2 1.005 |
      | 1,2               | junk        |
      | 1,2,0             | junk        |
      | 1,2,3,4,5         | junk        |
      | 1,2,-3            | junk        |
      | 1,2,9999999999999 | junk        |
      | 1,2,nan           | junk        |

  Scenario: Headers that can't be read flood the log, or are kept from callers
    Given a replica whose entry says that it is cold for 3 s
    When 50 answers within 1 s have headers that can't be read
    Then one bounded line was logged
    And both headers are forwarded to callers as before
