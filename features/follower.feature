Feature: A node keeps up with the store, whatever the store does

  Scenario: All is read first, then each change from the first revision read
    Given a follower of a store at revision 5
    Then it has read all prefixes and watches after 5
    When a change comes at revision 8
    Then the change is reported and it watches after 8

  Scenario: History that is gone makes it read all again, and nothing is lost
    Given a follower of a store at revision 5
    When the history is gone and the store is at revision 20
    Then it has read all prefixes and watches after 20
    And the store was not reported as lost

  Scenario: A store that does not answer is lost, and regained before changes
    Given a follower of a store at revision 5
    When the watch fails 3 times
    Then the store was reported as lost
    When a change comes at revision 9
    Then the store is regained before the change is reported

  Scenario: One unreadable moment does not end the following
    Given a follower of a store at revision 5
    When a change comes that can't be handled
    Then it has read all prefixes and watches after 5

  Scenario: A lease that has ended is taken anew
    Given a follower of a store at revision 5
    Then the node's key was written under a lease
    When its lease ends
    Then the node's key was written under another lease

  Scenario: Many nodes make fewer calls each
    Given a follower of a store at revision 5
    Then the pause after a change is 0.1 s with 1 node and 1 s with 36
