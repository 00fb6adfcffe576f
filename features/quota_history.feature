Feature: No history of a fleet runs more than the limit of an account

  Each node is a whole routing core on a clock of its own. Nodes start, restart,
  join, freeze, are cut off from the store and from each other, see members and
  configurations late, and get far more requests than the account may run.

  Scenario: In any 5 s at most A requests run, over all nodes together
    Then 40 histories run at most A requests of an account in any 5 s

  Scenario: The limit is not kept by running nothing
    Then 6 nodes without trouble run more than half of A in each 5.5 s
