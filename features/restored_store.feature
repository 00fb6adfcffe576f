Feature: What was confirmed stays in force when the store comes back from a copy

  The store loses what it accepted since the copy, and gives out its revisions
  and leases again. What the operator and the replicas wrote is written again.

  Scenario Outline: A change is missed as its revision was read before: <watch>
    Given a node that follows a store with 6 replicas
    When a copy is taken, and 4 configurations are written and in force
    And the store comes back from the copy while the watch is <watch>
    And it accepts 9 other writes before the node asks again
    And a configuration with a later version is written under a revision that was read before
    Then that version is in force within 4 s

    Examples:
      | watch        |
      | cut          |
      | kept waiting |

  Scenario: Copies of the former era hide that the store was restored
    Given a node that follows a store with 6 replicas
    When a copy is taken, and 4 configurations are written and in force
    And copies of the store are of the former era for 2 s
    And the store comes back from the copy while the watch is cut
    And a configuration with a later version is written under a revision that was read before
    Then that version is in force within 4 s

  Scenario: An older configuration comes back into force
    Given a node that follows a store with 6 replicas
    When a copy is taken, and 4 configurations are written and in force
    And the store comes back from the copy while the watch is cut
    Then for 3 s the last version stays in force, and the log tells
    When the configurations are written again, and one more
    Then that version is in force within 4 s

  Scenario: A replica that was gone before a restore gets requests again
    Given a node that follows a store with 6 replicas
    When a copy is taken, and 1 replica goes and is forgotten
    And the store comes back from the copy while the watch is cut
    Then the replica is not used until its entry is removed again

  Scenario: A live replica is left out for ever as its entry was gone once
    Given a node that follows a store with 6 replicas
    When a copy is taken, and 1 replica goes and is forgotten
    And the store comes back from the copy while the watch is cut
    Then the replica is used within 8 s if its entry doesn't lapse

  Scenario: A replica that came since the copy is dropped
    Given a node that follows a store with 6 replicas
    When a copy is taken, and a replica is added and known
    And the store comes back from the copy while the watch is cut
    And the replica writes its entry again after 1.8 s
    Then the replica stays known throughout

  Scenario Outline: An evacuation follows the copy: <change> since it
    Given a node that follows a store with 6 replicas
    When a copy is taken, and an evacuation is <change> and in force
    And the store comes back from the copy while the watch is cut
    Then for 3 s the evacuation stays <change>
    When the operator writes again that it is <change>
    Then for 1 s the evacuation stays <change>
    And it follows the operator from then on

    Examples:
      | change  |
      | written |
      | removed |

  Scenario: A node isn't registered any more, or holds another node's lease
    Given a node that follows a store with 6 replicas
    When the store comes back from a copy of before the node, and gives its lease away
    Then the node is registered within 2 s under a lease of its own

  Scenario: A node that starts after a restore serves by an older configuration
    Given a node that follows a store with 6 replicas
    When a copy is taken, and 4 configurations are written and in force
    And the store comes back from the copy while the watch is cut
    And the node has registered anew, and another one starts
    Then for 1 s the other one has no configuration in force
    When the configurations are written again, and one more
    Then that version is in force at both within 4 s

  Scenario: A node that starts waits for ever for what nobody writes again
    Given a node that follows a store with 6 replicas
    When a copy is taken, and 4 configurations are written and in force
    And the store comes back from the copy while the watch is cut
    And the node has registered anew, and another one starts
    Then for 4 s the other one has no configuration in force
    And it has the older one in force within 3 s

  Scenario: Nodes that register again after a restore count as changes
    Then 74 nodes that write their entries again change nothing
    And one of them that comes back elsewhere, or after its lease, does

  Scenario: Some history of restores makes a change late or takes it back
    Then over random histories with restores no change is late or taken back
