Feature: An accepted configuration is in force everywhere and never reverts

  Scenario: A node reads the store when it starts and tells its peers
    Given a node "entry-1" with the peers "entry-2 entry-3"
    When the node starts and reads revision 3 from the store
    Then revision 3 is in force and confirmed
    And the peers "entry-2 entry-3" were sent revision 3

  Scenario: A node takes a higher revision from a peer and never a lower one
    Given a node "entry-1" with the peers "entry-2"
    When peer "entry-2" pushes revision 4
    And peer "entry-2" pushes revision 2
    Then revision 4 is in force and not confirmed
    When the node's next store call returns revision 3
    Then revision 4 is in force and not confirmed
    And the node writes revision 4 to the store

  Scenario: A node without store asks its peers and has none in force till then
    Given a node "entry-1" with the peers "entry-2"
    When the node starts and its first read of the store fails
    Then no revision is in force
    And the peers "entry-2" were sent digests that request a reply
    When peer "entry-2" pushes revision 4
    Then revision 4 is in force and not confirmed

  Scenario: Digests repair a peer that is behind and a node that is behind
    Given a node "entry-1" with the peers "entry-2"
    When peer "entry-2" pushes revision 4
    And peer "entry-2" sends a digest of revision 3
    Then the peers "entry-2" were sent revision 4
    When peer "entry-2" sends a digest of revision 5
    Then the peers "entry-2" were sent digests that request a reply

  Scenario: A digest of a peer that saw the store confirms the revision
    Given a node "entry-1" with the peers "entry-2"
    When peer "entry-2" pushes revision 4
    And peer "entry-2" sends a digest of revision 4 confirmed 2 s ago
    Then revision 4 is in force and confirmed

  Scenario: A store that answers nothing is logged as lost, once
    Given a node "fd-1-a" with the peers "fd-1-b"
    When the node starts and none of its store calls is answered for 30 s
    Then it logged once that it lost the store

  Scenario: Malformed documents are dropped and logged
    Given a node "entry-1" with the peers "entry-2"
    When the node starts and reads revision 3 from the store
    And the node's store watches return malformed documents
    Then revision 3 is in force and confirmed
    And each malformed document was logged

  Scenario: Of two operators one gets a conflict that shows the other's change
    Given a document with the profile "batch"
    When "anna" and "jan" both change the profile "batch" of that document
    Then the change of "jan" conflicts with "profile set batch" by "anna"
    And a retry by "jan" on the stored document has both changes

  Scenario: A lost answer is settled by reading back the change id
    Given a document with the profile "batch"
    Then a change read back at once is the latest
    And a change read back after a later one is superseded
    And a change that is absent from the document read back was not applied
    And the outcome of a change read back after 40 others is unknown

  Scenario: A deleted profile leaves a tombstone
    Given a document with the profile "batch"
    When the profile "batch" is deleted from that document
    Then a merge with an older document does not restore "batch"
