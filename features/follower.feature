Feature: A node follows the store through outages and lost history

  Scenario: All is read first, then each change from the first revision read
    Given a follower of a store at revision 5
    Then it has read all items and watches after 5
    When a change arrives at revision 8
    Then the change is reported and it watches after 8

  Scenario: History that is gone makes it read all again, and nothing is lost
    Given a follower of a store at revision 5
    When the history is compacted and the store is at revision 20
    Then it has read all items and watches after 20
    And the store was not reported as lost

  Scenario: Pauses between calls stay long although the store has answered
    Given a follower of a store at revision 5
    When the watch fails 5 times
    And the history is gone and the next page is refused
    Then the page is read again within 0.15 s

  Scenario: A store that does not answer is lost, and regained before changes
    Given a follower of a store at revision 5
    When the watch fails 3 times
    Then the store was reported as lost
    When a change arrives at revision 9
    Then the store is reported as regained before the change

  Scenario: A store that is lost is asked often, so that its return is noticed
    Given a follower of a store at revision 5
    When the watch fails 3 times
    Then each watch since then lasts at most 0.1 s
    When a change arrives at revision 9
    Then the next watch lasts as long as the first

  Scenario: One unreadable moment does not end the following
    Given a follower of a store at revision 5
    When a change arrives whose handling raises an exception
    Then it has read all items and watches after 5

  Scenario: A lease that has ended is taken anew
    Given a follower of a store at revision 5
    Then the node's key was written under a lease
    When its lease expires
    Then the node's key was written under another lease

  Scenario: A node is never listed as the first write of its key failed
    Given a store that fails the next write
    And a follower of a store at revision 5
    When the lease is due for renewal
    Then the node's key was written under a lease

  Scenario: Many nodes make fewer calls each
    Given a follower of a store at revision 5
    Then the delay after a change is 0.1 s with 1 node and 1.2 s with 36
    And under steady change a node of 36 makes at most a third of the calls that one of 4 makes

  Scenario: A backlog is read without pauses between its parts
    Given a follower of a store at revision 5
    When 500 changes arrive at once, as after an outage
    Then the next watch starts without a delay

  Scenario: A storm of large configurations is read without pauses, too
    Given a follower of a store at revision 5
    When 20 changes of 40 KB each arrive at once
    Then the next watch starts without a delay

  Scenario Outline: Fewer calls never delay a change beyond its bound
    Then with limits of <apply> s to apply and <catch_up> s to catch up, a node of <nodes> reads a change in time although an outage has cut off its watch

    Examples:
      | apply | catch_up | nodes |
      | 3     | 4        | 4     |
      | 3     | 4        | 300   |
      | 5     | 5        | 36    |
      | 5     | 5        | 1000  |

  Scenario Outline: Connections that went silent are noticed too late after a long pause
    Then with limits of <apply> s to apply and <catch_up> s to catch up, a node of <nodes> notices in time that its connections went silent after a change

    Examples:
      | apply | catch_up | nodes |
      | 3     | 4        | 4     |
      | 3     | 4        | 300   |
      | 5     | 5        | 36    |
      | 5     | 5        | 1000  |
      | 6     | 6        | 78    |

  Scenario: A watch without changes lasts, and is checked at little cost
    Given a follower of a store at revision 5
    When 20 s pass without a change
    Then it has made 1 watch and 11 checks

  Scenario: A watch whose answer was lost is replaced
    Given a follower of a store at revision 5
    When the answer of the watch to revision 6 is lost
    Then within 2.5 s it watches again after 5
    And the store was reported as lost
    When a change arrives at revision 6
    Then the store is reported as regained before the change

  Scenario: A watch on a store that answers no checks is replaced
    Given a follower of a store at revision 5
    When the store fails to answer checks
    Then within 2 s it watches again after 5
    And the store was reported as lost

  Scenario: A check that fails unexpectedly ends the watch, not the program
    Given a follower of a store at revision 5
    When a check meets an unexpected error
    Then within 2 s it watches again after 5
    And the store was reported as lost

  Scenario: An unexpected error of a lease call doesn't end the lease's upkeep
    Given a follower of a store at revision 5
    When a renewal meets an unexpected error
    Then the error was reported and the lease is renewed later

  Scenario: A watch that is answered during a check goes on
    Given a follower of a store at revision 5
    When the watch is answered as a check finds revision 8
    Then the change is reported and it watches after 8
    And the store was not reported as lost

  Scenario: A node that stops ends its watch and its checks
    Given a follower of a store at revision 5
    When the node stops following the store
    Then no call was made since and no exception was reported

  Scenario: The age of what a node knows can be told from its log
    Given a follower of a store at revision 5
    When the watch fails 1 times
    Then the loss and the return tell for how long the store was silent
    And the listing at the start is reported with its pages and failures

  Scenario: A removal counts as young although a backlog was read before it
    Given a follower of a store at revision 5
    When 500 changes arrive at once, as after an outage
    Then what the store had accepted by then is not taken for known
    When a change arrives at revision 506
    Then what the store had accepted by then is taken for known
