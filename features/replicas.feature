Feature: Requests go to the replicas that the store lists as serving

  Scenario: A draining replica gets no new request
    Given an idempotent route to 2 replicas
    When replica "r1" starts to drain
    And 10 requests arrive
    Then none of them went to "r1"

  Scenario: An entry of an earlier start changes nothing
    Given an idempotent route to 1 replica
    When replica "r1" starts to drain
    And an older entry of "r1" says that it is ready
    And a request arrives
    Then it is answered "no replica" as not run

  Scenario: A new start under the same identity is another replica
    Given an idempotent route to 1 replica
    When replica "r1" starts to drain
    And "r1" restarts at another address
    And a request arrives
    Then it was sent to the new address

  Scenario: A replica whose address another one has gets no more requests
    Given a non-idempotent route to 1 replica
    When a request arrives
    And its attempt is refused as it reached another replica
    And 0.1 s pass
    Then it is answered "refused" as not run
    And the next request is answered "no replica" as not run

  Scenario: A replica whose entry is gone is a last resort, then dropped
    Given an idempotent route to 2 replicas
    When the store confirms that all its changes are known
    And 1 s pass
    And the entry of "r1" is removed
    And 10 requests arrive
    Then none of them went to "r1"
    And 2 replicas are known
    When 2 s pass
    Then 1 replica is known

  Scenario: A replica whose entry went long before that was read is dropped at once
    Given an idempotent route to 2 replicas
    When the store confirms that all its changes are known
    And 3 s pass
    And the entry of "r1" is removed
    And 0.01 s pass
    Then 1 replica is known

  Scenario: Entries that lapsed with the store away have two seconds
    Given an idempotent route to 2 replicas
    When the store confirms that all its changes are known
    And a call to the store fails
    And 20 s pass
    And a call to the store fails
    Then 2 replicas are known
    When the store is available again
    And the entry of "r1" is removed
    And 2 s pass
    Then 2 replicas are known
    When the entry of "r1" is written again
    And 5 s pass
    Then 2 replicas are known

  Scenario: Entries still missing after that are gone
    Given an idempotent route to 2 replicas
    When the store confirms that all its changes are known
    And a call to the store fails
    And 20 s pass
    And a call to the store fails
    And the store is available again
    And the entry of "r1" is removed
    And 2.5 s pass
    Then 1 replica is known

  Scenario: An outage too short for entries to lapse gives them no time
    Given an idempotent route to 2 replicas
    When the store confirms that all its changes are known
    And a call to the store fails
    And 2.3 s pass
    And the store is available again
    And the entry of "r1" is removed
    And 0.6 s pass
    Then 1 replica is known

  Scenario: An outage gives no time to an entry that went before it
    Given an idempotent route to 2 replicas
    When the store confirms that all its changes are known
    And the entry of "r1" is removed
    And a call to the store fails
    And 2.9 s pass
    Then 1 replica is known

  Scenario: A silence that may be the connections' own gives no more time than they have
    Given an idempotent route to 2 replicas
    When the store confirms that all its changes are known
    And 3 s pass
    And a call to the store fails that was made 3 s before
    And the store is available again
    And the entry of "r1" is removed
    And 0.7 s pass
    Then 2 replicas are known
    When 0.3 s pass
    Then 1 replica is known

  Scenario: Time after an outage counts from the last call that has failed
    Given an idempotent route to 2 replicas
    When the store confirms that all its changes are known
    And 3 s pass
    And a call to the store fails that was made 3 s before
    And 3 s pass
    And a call to the store fails that was made 1.6 s before
    And 1.2 s pass
    And the store is available again
    And the entry of "r1" is removed
    And 0.9 s pass
    Then 2 replicas are known
    When 0.3 s pass
    Then 1 replica is known

  Scenario: A silent replica is avoided while it is silent
    Given an idempotent route to 2 replicas with known latencies
    When one replica does not answer a request
    And 10 requests arrive
    Then none of them went to that replica

  Scenario: A replica that refuses is avoided
    Given an idempotent route to 2 replicas with known latencies
    When one replica refuses each attempt of 5 requests
    And 10 requests arrive
    Then none of them went to that replica

  Scenario: Connections are shared by the nodes that are counted
    Given an idempotent route to 1 replica that accepts 26 connections
    When 6 nodes besides this one are listed
    Then this node may open 3 connections to it
    When 3 of these nodes are no longer listed
    Then this node may open 3 connections to it

  Scenario: Shards without a near replica are left to a peer near them
    Given a query route over 6 shards, 4 of them only in "zone-b"
    And a peer in "zone-b"
    When a request arrives
    Then 4 shards are delegated to the peer and 2 are queried directly
    When the peer answers with 3 shards and the others reply
    Then the answer has 5 digests and misses 1 shards

  Scenario: A peer that could not be reached costs no shard
    Given a query route over 6 shards, 4 of them only in "zone-b"
    And a peer in "zone-b"
    When a request arrives
    And the peer can't be reached
    And each shard replies with records of its own
    Then the answer has 6 digests and misses 0 shards

  Scenario: A peer that has failed is made up for if no more replicas than attempts can run
    Given a query route over 6 shards, 4 of them only in "zone-b"
    And a peer in "zone-b"
    When a request arrives
    And the connection to the peer fails
    Then each shard of the peer is queried directly, as a retry
    When each shard replies with records of its own
    Then the answer has 6 digests and misses 0 shards
    And nothing of the next request is delegated

  Scenario: Making up for peers that have failed keeps to the retry budget
    Given a query route over 6 shards, 4 of them only in "zone-b"
    And a peer in "zone-b"
    When 200 requests arrive within 5 s, and the connection to the peer fails each time
    Then the repeated queries of each shard stay within its budget

  Scenario: A peer that has failed is not made up for by more attempts
    Given a query route over 6 shards, 4 of them only in "zone-b"
    And each of these shards has 3 replicas
    And a peer in "zone-b"
    When a request arrives
    And the connection to the peer fails
    Then it is answered "too few shards" as maybe run
    And nothing of the next request is delegated

  Scenario: A node asked by a peer refuses what it can't answer for
    Given a query route over 4 shards
    When a peer delegates 2 shards of a route that this node does not know
    Then it is answered "refused" as not run
    When the node is told to shut down
    And a peer delegates 2 shards
    Then it is answered "refused" as not run

  Scenario: A peer's query is answered by the peer's configuration
    Given a query route over 4 shards
    When a peer delegates 2 shards of a set that this node does not know
    Then only these shards are queried, one replica each, for 2 records

  Scenario: A replica that is seldom asked is known as slow after one reply
    Given an idempotent route to 2 replicas with known latencies
    When 2 s later one replica takes 0.2 s for a reply
    And 3 requests arrive
    Then none of them went to that replica

  Scenario: A node that is cut off refuses at once and hands its callers on
    Given a query route over 6 shards, 4 of them only in "zone-b"
    And a peer in "zone-b"
    And the node is ready
    When a probe of the peer fails
    And the probes of replicas there fail
    Then the node is not ready and closes its connections
    When a request arrives
    Then it is answered "no replica" as not run
    And the answer allows a retry within 20 ms
    When the peer answers a probe
    Then the node is ready

  Scenario: Peers that are all down are no proof of being cut off
    Given a query route over 6 shards, 4 of them only in "zone-b"
    And a peer in "zone-b"
    And the node is ready
    When a probe of the peer fails
    But a probe of a replica there succeeds
    Then the node is ready
    When a probe of the peer fails
    And the probes of replicas there fail
    Then the node is not ready and closes its connections
    When a probe of a replica there succeeds
    Then the node is ready

  Scenario: Doubts in quick succession cost one round of probes
    Given a query route over 6 shards, 4 of them only in "zone-b"
    And a peer in "zone-b"
    When 40 requests arrive in 0.4 s and get no reply
    And 1 s pass
    Then at most 9 probes of replicas were sent

  Scenario: A node that holds enough shards serves on alone
    Given a query route over 6 shards, 1 of them only in "zone-b"
    And a peer in "zone-b"
    And the node is ready
    When a probe of the peer fails
    And the probes of replicas there fail
    And a request arrives
    And each shard replies with records of its own
    Then the answer has 5 digests and misses 1 shards
    And the node is ready

  Scenario: A probe without an answer is no proof while far replicas answer
    Given a query route over 6 shards, 2 of them only in "zone-b"
    And a peer in "zone-b"
    And the node is ready
    When a request arrives
    And a probe of the peer fails
    And the probes of replicas there fail
    Then the node is not ready and closes its connections
    When the replicas in "zone-b" reply
    And 0.6 s pass
    Then the node is ready

  Scenario: Overload lets in what can be served in time, most urgent first
    Given a query route over 4 shards whose replicas serve one request at a time
    When 60 queries a second arrive for 20 s, twice what the replicas can serve
    Then in the last 10 s at least 0.35 of the queries were answered in time
    And each refused query was refused at once and not sent
