Feature: Replicas get requests while the store says that they serve

  Scenario: A draining replica gets no new request
    Given a safe route to 2 replicas
    When replica "r1" drains
    And 10 requests arrive
    Then none of them went to "r1"

  Scenario: An entry of an earlier start changes nothing
    Given a safe route to 1 replica
    When replica "r1" drains
    And an older entry of "r1" says that it is ready
    And a request arrives
    Then it is answered "no replica" as not run

  Scenario: A new start under the same identity is another replica
    Given a safe route to 1 replica
    When replica "r1" drains
    And "r1" starts anew at another address
    And a request arrives
    Then it was sent to the new address

  Scenario: A replica whose address another one has gets no more requests
    Given a posting route to 1 replica
    When a request arrives
    And its attempt is refused as it reached another replica
    And 0.1 s pass
    Then it is answered "refused" as not run
    And the next request is answered "no replica" as not run

  Scenario: A replica whose entry is gone is a last resort, then dropped
    Given a safe route to 2 replicas
    When the entry of "r1" is gone
    And 10 requests arrive
    Then none of them went to "r1"
    When 2.5 s pass
    Then 1 replica is known

  Scenario: Entries that lapsed with the store away have two seconds
    Given a safe route to 2 replicas
    When the store is lost
    And the entry of "r1" is gone
    And 20 s pass
    Then 2 replicas are known
    When the store is regained
    And 2 s pass
    Then 2 replicas are known
    When "r1" is written again
    And 5 s pass
    Then 2 replicas are known

  Scenario: Entries still missing after that are gone
    Given a safe route to 2 replicas
    When the store is lost
    And the entry of "r1" is gone
    And the store is regained
    And 2.5 s pass
    Then 1 replica is known

  Scenario: A silent replica is avoided while it is silent
    Given a safe route to 2 replicas with known response times
    When a request to one replica stays without an answer
    And 10 requests arrive
    Then none of them went to that replica

  Scenario: A replica that refuses is avoided
    Given a safe route to 2 replicas with known response times
    When one replica refuses each attempt of 5 requests
    And 10 requests arrive
    Then none of them went to that replica

  Scenario: Connections are shared by the nodes that are counted
    Given a safe route to 1 replica that accepts 26 connections
    When 6 nodes besides this one are listed
    Then this node may open 3 connections to it
    When 3 of these nodes are gone
    Then this node may open 3 connections to it

  Scenario: Shards without a near replica are left to a peer near them
    Given a query route over 6 shards, 4 only in "zone-b"
    And a peer in "zone-b"
    When a request arrives
    Then the peer is asked for 4 shards and 2 are asked from here
    When the peer answers with 3 shards and the others reply
    Then it lists 5 digests and misses 1 shards

  Scenario: A peer that could not be reached costs no shard
    Given a query route over 6 shards, 4 only in "zone-b"
    And a peer in "zone-b"
    When a request arrives
    And the peer can't be reached
    And each shard replies with records of its own
    Then it lists 6 digests and misses 0 shards

  Scenario: A peer that has failed is not made up for by more attempts
    Given a query route over 6 shards, 4 only in "zone-b"
    And a peer in "zone-b"
    When a request arrives
    And the peer breaks off
    Then it is answered "too few shards" as maybe run
    And the next request is sent to no peer

  Scenario: A node asked by a peer refuses what it can't answer for
    Given a query route over 4 shards
    When a peer asks for 2 shards on a route that is not known here
    Then it is answered "refused" as not run
    When the node is asked to end
    And a peer asks for 2 shards
    Then it is answered "refused" as not run

  Scenario: A peer's query is answered by the peer's configuration
    Given a query route over 4 shards
    When a peer asks for 2 shards of a set that is not known here
    Then just these are asked, each of one replica, for 2 records

  Scenario: A replica that is seldom asked is known as slow after one reply
    Given a safe route to 2 replicas with known response times
    When 2 s later one replica takes 0.2 s for a reply
    And 3 requests arrive
    Then none of them went to that replica

  Scenario: A node that is cut off refuses at once and hands its callers on
    Given a query route over 6 shards, 4 only in "zone-b"
    And a peer in "zone-b"
    And the node is ready
    When the peer can't be reached by a probe
    And no replica there can be reached
    Then the node is not ready and closes its connections
    When a request arrives
    Then it is answered "no replica" as not run
    And it may be tried elsewhere at once
    When the peer answers a probe
    Then the node is ready

  Scenario: Peers that are all down are no proof of being cut off
    Given a query route over 6 shards, 4 only in "zone-b"
    And a peer in "zone-b"
    And the node is ready
    When the peer can't be reached by a probe
    But a replica there accepts a connection
    Then the node is ready
    When the peer can't be reached by a probe
    And no replica there can be reached
    Then the node is not ready and closes its connections
    When a replica there accepts a connection
    Then the node is ready

  Scenario: Doubts in quick succession cost one round of probes
    Given a query route over 6 shards, 4 only in "zone-b"
    And a peer in "zone-b"
    When 40 requests arrive in 0.4 s and stay without an answer
    And 1 s pass
    Then at most 9 probes of replicas were sent

  Scenario: A node that holds enough shards serves on alone
    Given a query route over 6 shards, 1 only in "zone-b"
    And a peer in "zone-b"
    And the node is ready
    When the peer can't be reached by a probe
    And no replica there can be reached
    And a request arrives
    And each shard replies with records of its own
    Then it lists 5 digests and misses 1 shards
    And the node is ready

  Scenario: A probe without an answer is no proof while far replicas answer
    Given a query route over 6 shards, 2 only in "zone-b"
    And a peer in "zone-b"
    And the node is ready
    When a request arrives
    And the peer can't be reached by a probe
    And no replica there can be reached
    Then the node is not ready and closes its connections
    When a replica in "zone-b" answers
    And 0.6 s pass
    Then the node is ready

  Scenario: Overload lets in what can be served in time, most urgent first
    Given a query route over 4 shards whose replicas serve one at a time
    When 60 queries a second arrive for 20 s, half of what they need is there
    Then in the last 10 s at least 0.35 of the queries were in time
    And no refused query was held or had run
