Feature: Replicas of an evacuated failure domain get no requests

  Scenario Outline: A request reaches a replica of an evacuated domain: <evacuated>
    Given routes to replicas in zone-a, zone-b and zone-c, in zone-a itself
    When the failure domains "<evacuated>" are evacuated
    And 6 requests of each kind arrive and get replies
    Then only replicas in "<left>" got attempts
    And the node reports itself ready

    Examples:
      | evacuated            | left                 |
      | zone-a               | zone-b zone-c        |
      | zone-a zone-c        | zone-b               |
      | unknown              | zone-a zone-b zone-c |
      | zone-b unknown       | zone-a zone-c        |

  Scenario: Requests wait although all failure domains are evacuated
    Given routes to replicas in zone-a, zone-b and zone-c, in zone-a itself
    When the failure domains "zone-a zone-b zone-c" are evacuated
    Then a request of each kind is answered 503 at once as not run
    And the node reports itself ready

  Scenario: A shard whose only replica is evacuated holds up the answer
    Given a query route over 4 shards, of which one has a replica in zone-b only
    When the failure domains "zone-b" are evacuated
    Then a query is answered with 1 shard missing once the others reply

  Scenario: A retry, a hedge or a later attempt goes to an evacuated domain
    Given routes to replicas in zone-a, zone-b and zone-c, in zone-a itself
    When a request of each kind is sent to replicas in zone-a
    And the failure domains "zone-b zone-c" are evacuated
    Then its attempt is not cancelled, and no retry or hedge is sent elsewhere

  Scenario: A request that was refused is retried although no replica is left
    Given routes to replicas in zone-a, zone-b and zone-c, in zone-a itself
    When a request of each kind is sent to replicas in zone-a
    And the failure domains "zone-a zone-b zone-c" are evacuated
    And all attempts are refused
    Then each of the plain ones is answered 503 at once as not run

  Scenario: Requests that wait for a connection are written after the evacuation
    Given routes to replicas in zone-a, zone-b and zone-c, in zone-a itself
    When the failure domains "zone-b" are evacuated
    Then the pools of the replicas in zone-b are closed, and open again after it

  Scenario: A peer's delegated query reaches replicas of an evacuated domain
    Given routes to replicas in zone-a, zone-b and zone-c, in zone-a itself
    When the failure domains "zone-a" are evacuated
    And a peer delegates a query to the node
    Then only replicas in "zone-b zone-c" got attempts

  Scenario: Shards are delegated to the owners of an evacuated domain
    Given a fleet of 12 nodes in 3 failure domains and 40 shards
    Then no query delegates to nodes of a domain that is evacuated

  Scenario: Only the key of a domain matters, whatever its value
    Then any value evacuates, also none, and only the removal restores
    And a complete listing restores what it does not hold

  Scenario: A flood of unknown domains floods the log
    Given routes to replicas in zone-a, zone-b and zone-c, in zone-a itself
    When 500 domains with names of 300 characters are evacuated one by one
    Then at most 20 lines of at most 600 characters were logged

  Scenario: A node that starts uses replicas before it has read the evacuations
    Then over random histories no replica is known before the evacuations are

  Scenario: An evacuation is late, or goes on after it was taken back
    Then over random histories an evacuation is obeyed in time and ends in time

  Scenario: An evacuation waits for pages of a listing that are refused
    Then an evacuation is known within 1 s though pages before it fail
