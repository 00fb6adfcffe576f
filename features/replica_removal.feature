Feature: A replica that is gone gets no requests, whatever delays the news

  A request must not reach a replica 3 s after the store has accepted that it is
  gone, nor 4 s after the connections to the store went silent. The follower and
  the adapter's store client run over sockets against a store with faults.

  Scenario: A replica that is gone is used longer after a cut watch
    Given a follower of a faulty store with 16 entries in pages of 500
    When an entry is removed, and the watch that waits is cut 2 s later
    Then no removed entry names a replica 3 s after its removal

  Scenario: A replica that is gone is used longer with many watches cut in a row
    Given a follower of a faulty store with 16 entries in pages of 500
    When an entry is removed, and the watch that waits is cut each 0.5 s
    Then no removed entry names a replica 3 s after its removal

  Scenario: A replica that is gone is used longer after the pause of 12 nodes
    Given a follower among 12 nodes of a faulty store with 16 entries
    When 4 entries are removed, 0.1 s apart
    Then no removed entry names a replica 3 s after its removal

  Scenario: A replica that is gone is used longer after connections went silent
    Given a follower of a faulty store with 16 entries in pages of 500
    When the open connections go silent just after a check
    And an entry is removed 0.4 s later
    Then no removed entry names a replica 4 s after the silence

  Scenario: Replicas are lost whose entries lapsed while the store was away
    Given a follower of a faulty store with 16 entries in pages of 500
    When the store refuses all calls for 4 s, and 8 entries lapse meanwhile
    And these entries are written again 1.9 s after its return
    Then each of the 16 replicas was known all the while

  Scenario: Replicas whose entries lapsed while the store was away stay for ever
    Given a follower of a faulty store with 16 entries in pages of 500
    When the store refuses all calls for 4 s, and 8 entries lapse meanwhile
    Then no removed entry names a replica 4 s after the return
