Feature: A node keeps up with the store, whatever the store does

  Scenario: All is read first, then each change from the first revision read
    Given a follower of a store at revision 5
    Then it has read all keys and watches after 5
    When a change comes at revision 8
    Then the change is reported and it watches after 8

  Scenario: History that is gone makes it read all again, and nothing is lost
    Given a follower of a store at revision 5
    When the history is gone and the store is at revision 20
    Then it has read all keys and watches after 20
    And the store was not reported as lost

  Scenario: A store that does not answer is lost, and regained before changes
    Given a follower of a store at revision 5
    When the watch fails 3 times
    Then the store was reported as lost
    When a change comes at revision 9
    Then the store is regained before the change is reported

  Scenario: A store that is lost is asked often, so that its return is noticed
    Given a follower of a store at revision 5
    When the watch fails 3 times
    Then each call since then waits for 0.1 s at most
    When a change comes at revision 9
    Then the next call waits as usual

  Scenario: One unreadable moment does not end the following
    Given a follower of a store at revision 5
    When a change comes that can't be handled
    Then it has read all keys and watches after 5

  Scenario: A lease that has ended is taken anew
    Given a follower of a store at revision 5
    Then the node's key was written under a lease
    When its lease ends
    Then the node's key was written under another lease

  Scenario: Many nodes make fewer calls each
    Given a follower of a store at revision 5
    Then the pause after a change is 0.1 s with 1 node and 1.2 s with 36
    And under steady change a node of 36 makes at most a third of the calls of one of 4

  Scenario: A backlog is read without pauses between its parts
    Given a follower of a store at revision 5
    When 500 changes come at once, as after an outage
    Then the rest is read without a pause

  Scenario: A storm of large configurations is read without pauses, too
    Given a follower of a store at revision 5
    When 20 changes of 40 KB each come at once
    Then the rest is read without a pause

  Scenario Outline: Fewer calls never delay a change beyond its bound
    Then with <apply> s to apply and <contact> s of contact, a node of <nodes> hears of a change in time though an outage silenced its call

    Examples:
      | apply | contact | nodes |
      | 3     | 4       | 4     |
      | 3     | 4       | 300   |
      | 5     | 5       | 36    |
      | 5     | 5       | 1000  |
