Feature: The configuration spreads everywhere and no node ever goes back

  Scenario: Through any history of faults no node goes back and all converge
    Then for any history of cuts, kills, freezes and restores nobody goes back

  Scenario: A small fleet keeps every bound of the spreading rules
    Given a fleet of 4 nodes in the spreading loop with 1 in 100 lost
    Then each of its bounds is kept

  Scenario: A fleet of 40 keeps every bound of the spreading rules
    Given a fleet of 40 nodes in the spreading loop with 1 in 100 lost
    Then each of its bounds is kept

  Scenario: A node that is frozen and thawed refutes its death and rejoins
    Given 6 nodes in the spreading loop with revision 1 in force
    When node "entry-3" is frozen for 20 s
    Then the others hold "entry-3" for dead
    When node "entry-3" is thawed
    Then within 10 s everyone holds everyone for alive
    And "entry-3" held nobody for dead after its thaw

  Scenario: A node that was frozen amid a suspicion gives time to refute it
    Given 6 nodes in the spreading loop with revision 1 in force
    When node "entry-3" is frozen for 20 s while it suspects "entry-1"
    And node "entry-3" is thawed
    Then within 10 s everyone holds everyone for alive
    And "entry-3" held nobody for dead after its thaw

  Scenario: A link that is cut in one direction makes nobody dead
    Given 6 nodes in the spreading loop with revision 1 in force
    When the link from "a" to "b" is cut in that direction only
    And 30 s pass in the spreading loop
    Then nobody was held for dead wrongly

  Scenario: A node that leaves is not suspected first
    Given 6 nodes in the spreading loop with revision 1 in force
    When node "entry-2" leaves and ends
    Then within 5 s the others hold "entry-2" for left

  Scenario: A store restored to an older state gets the changes in force back
    Given 6 nodes in the spreading loop with revision 3 in force
    When the store goes back to revision 1
    Then within 5 s the store holds revision 3 again

  Scenario: A change made on a store that went back is joined, and nothing lost
    Given 6 nodes in the spreading loop with revision 3 in force
    When the store goes back to revision 1 and an operator adds "late" there
    Then within 5 s all hold "late" and the profile of revision 3

  Scenario: Bad peer messages change nothing
    Given 3 nodes in the spreading loop with revision 2 in force
    Then truncated, forged, oversized and wrong messages change nothing there
