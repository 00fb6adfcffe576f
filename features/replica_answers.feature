Feature: Replicas that are leaving or ask for a pause get no requests

  Scenario Outline: A header is misread: <headers>
    Then an answer <status> with each of "<headers>" says "<meaning>"

    Examples:
      | status | headers                                           | meaning      |
      | 200    | server-leaving: 1 / server-leaving:   1           | leaving      |
      | 503    | server-leaving: 0, server-leaving: 1              | leaving junk |
      | 500    | server-leaving: true / server-leaving: 11 / server-leaving: 01 | junk |
      | 503    | retry-after:  0.25                                | 0.25         |
      | 503    | retry-after: 5 / retry-after: 2, retry-after: 5   | 5.0          |
      | 503    | retry-after: junk, retry-after: 5                 | 5.0 junk     |
      | 503    | retry-after: 30.5 / retry-after: 9999999999999999 | 30.0         |
      | 503    | retry-after: 0 / retry-after: 0.0 / retry-after: -1 | junk       |
      | 503    | retry-after: 1e1 / retry-after: nan / retry-after: inf / retry-after: Wed; 21 Oct 2026 07:28:00 GMT | junk |
      | 503    | server-leaving: 1, retry-after: 3                 | leaving 3.0  |
      | 429    | retry-after: 5                                    | nothing      |

  Scenario: A replica's headers are forwarded as this node's
    Then only a replica's own 503 keeps its Retry-After, and none its leaving

  # Guards against a caller that posts again what has run (review/6).
  Scenario Outline: A replica's own <status> tells a caller that its posting did not run
    Given a route for postings and one for requests that may be repeated
    When the replica runs each and answers <status> with "<headers>"
    Then the posting is answered 502 with nothing that the replica said
    And the other request is answered <status> as the replica did

    Examples:
      | status | headers                                 |
      | 408    | bluebellbay-response-signature: a       |
      | 429    | retry-after: 2                          |
      | 503    | bluebellbay-response-signature: a       |
      | 503    | retry-after: 2, server-leaving: 1       |

  Scenario: A status that promises nothing is kept from a posting
    Then a posting that ran gets each status from 300 to 599 but 408, 429 and 503

  Scenario: An error of a request that may have run says that it did not
    Then no error of a request that may have run has status 408, 421, 429 or 503

  Scenario Outline: A request reaches a replica that is leaving: <answer>
    Given routes to replicas in zone-a, zone-b and zone-c, in zone-a itself
    When a "<answer>" of replica "s-zone-a" says "server-leaving: 1"
    And 6 requests of each kind arrive and get replies
    Then "s-zone-a" got no attempt since, and its pool was closed
    And its entries make it usable only as another incarnation

    Examples:
      | answer         |
      | reply          |
      | error          |
      | refusal        |
      | address reused |
      | late reply     |

  Scenario: A pause is ended by a success, or goes on with another incarnation
    Given routes to replicas in zone-a, zone-b and zone-c, in zone-a itself
    When a "refusal" of replica "s-zone-a" says "retry-after: 2.0"
    Then "s-zone-a" is quiet for 2.0 s, whatever it answers meanwhile
    And it is paced then, and another incarnation is never quiet

  Scenario: What waits for a connection to a quiet replica is written to it
    Given routes to replicas in zone-a, zone-b and zone-c, in zone-a itself
    When a "error" of replica "s-zone-a" says "retry-after: 2.0"
    Then its limit of connections was 0 for an instant
    And unsent requests are sent elsewhere without a failure of the replica

  Scenario Outline: Requests wait although no replica may be used: <headers>
    Given routes to replicas in zone-a, zone-b and zone-c, in zone-a itself
    When all replicas say "<headers>"
    Then a request of each kind is answered 503 at once as not run
    And their callers are to return after <least> s to <most> s

    Examples:
      | headers           | least | most |
      | server-leaving: 1 | 0.01  | 1.5  |
      | retry-after: 4    | 3.99  | 5.0  |

  Scenario: Requests that wait for room go on waiting
    Given a route to one replica that has refused a request, which waits
    When the replica asks for a pause of 3 s
    Then all requests were refused at once, to return after 3 s or more

  Scenario: A shard whose only replica is quiet holds up the answer
    Given a query route over 4 shards, of which one has a replica in zone-b only
    When a "refusal" of replica "r-0" says "retry-after: 2"
    Then a query is answered with 1 shard missing once the others reply

  Scenario: Pauses flood the log, or a start or an end is not logged
    Given routes to replicas in zone-a, zone-b and zone-c, in zone-a itself
    Then starts and ends are logged, at most 20 lines in 10 s

  Scenario: A request reaches a replica against one of the two limits
    Then over random histories neither limit is broken

  Scenario: The program goes on sending to such replicas
    Given a fake store, 4 fake shards and 2 fake posting servers
    And the program is running and ready
    When one posting server says that it is leaving
    Then it gets no posting, and no caller sees the header
    When the other posting server asks for a pause of 1.5 s
    Then postings are refused until its end, and served then
