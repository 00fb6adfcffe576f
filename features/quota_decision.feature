Feature: A node decides on the quota of each request without a network

  The node is in failure domain zone-a of 3, with 2 peers in zone-b and zone-c.
  The account may run A = 20 requests in 5 s; the node runs 2 alone, and is the
  lender of its failure domain for 3 more.

  Scenario: What has no quota starts at once
    Given a node with quotas, and 2 peers
    When 30 requests come from an account without a rate
    And 30 parts of requests are delegated by a peer
    Then 60 requests were sent to replicas, and no peer was asked

  Scenario: An ask that is not answered in time counts as refused
    Given a node with quotas, and 2 peers
    When 6 requests come from the limited account
    Then 5 were sent to replicas, and 1 peer was asked
    When 0.031 s pass
    Then the other peer was asked
    When it refuses with room in 2 s
    Then the request is refused with 429, to return within 2 to 3 s
    When the first peer grants what it was asked for
    And 1 more request comes from the limited account
    Then it is refused at once

  Scenario: A request is older by the time that it waited for a lender
    Given a node with quotas, and 2 peers
    When 6 requests come from the limited account
    And after 0.02 s, the peer grants
    Then 6 were sent to replicas, the last with 0.02 s less than the others

  Scenario: A caller that leaves takes no quota with it
    Given a node with quotas, and 2 peers
    When 6 requests come from the limited account
    And the last caller leaves, and the peer grants
    And 1 more request comes from the limited account
    Then 6 were sent to replicas, and 1 peer was asked
    And no request is open that was not sent

  Scenario: A grant is not kept for longer than 0.3 s
    Given a node with quotas, and 2 peers
    When 6 requests come from the limited account
    And the last caller leaves, and the peer grants
    And 0.31 s pass
    And 1 more request comes from the limited account
    Then 5 were sent to replicas, and 2 peers were asked

  Scenario: A node that stops answers what waits for a lender
    Given a node with quotas, and 2 peers
    When 6 requests come from the limited account
    Then 6 requests are open
    When the node's time to stop is over
    Then the waiting request has not run

  Scenario: A request that reached no replica gives its quota back
    Given a node with quotas, and 2 peers
    When all replicas are gone
    And 9 requests come from the limited account
    Then 9 found no replica, and no peer was asked

  Scenario: A restarted node spends and lends nothing at first
    Given a node with quotas that was restarted, and 2 peers
    When 1 request comes from the limited account
    Then 0 were sent to replicas, and 1 peer was asked
    And a peer that asks this node is refused
    When 5.6 s pass
    And 3 requests come from the limited account
    Then 2 were sent to replicas, and 3 peers were asked
    And a peer that asks this node is refused
    When after 10 s, the store confirms its view
    Then a peer that asks this node is granted 3 requests, and refused more
    When 10.1 s pass
    Then a peer that asks this node is refused

  Scenario: A lender goes on while a quiet store only answers by its copies
    Given a node with quotas, and 2 peers
    When a copy of the store answers each 4 s for 24 s
    Then a peer that asks this node is granted 3 requests, and refused more
    When 10.1 s pass
    Then a peer that asks this node is refused

  Scenario: After a restart of all nodes no request runs until lenders settle
    Given a restarted node with quotas and a slack of 20
    Then a peer that asks this node is granted 2 requests, and refused more
    When 1 request comes from the limited account
    Then 0 were sent to replicas, and 1 peer was asked

  Scenario: No request runs once a lender's view of the store is too old
    Given a node with quotas and a slack of 20
    When 10.1 s pass
    Then a peer that asks this node is granted 2 requests, and refused more
