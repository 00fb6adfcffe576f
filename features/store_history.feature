Feature: A replica that is gone gets no requests in time, over random histories

  The follower and the routing core run on one clock against a simulated store.
  Entries come, leave and lapse; watches are cut; connections fall silent; the
  store refuses, hangs and forgets its history. What counts is when the store
  accepted a removal, and whether the node was in touch.

  Scenario: A replica can get requests too long after its removal
    Then over random histories no node in touch keeps a replica past the limit

  Scenario: A live replica is dropped as its entry lapsed while the store refused
    Then over random outages each live replica stays known

  Scenario Outline: A removal is read late after a watch alone was lost: <nodes> nodes, copies <age> s old
    Then a removal is read in time by each of <nodes> nodes although a watch was lost, with copies <age> s old

    Examples:
      | nodes | age |
      | 4     | 0   |
      | 78    | 0   |
      | 78    | 0.5 |
      | 4     | 3   |
      | 78    | 3   |

  Scenario: A removal counts as young although a backlog was read beside a listing
    Then a batch of 300 changes read beside a listing is not taken for the present
