Feature: A replica that names a rate limit gets no more from all nodes together

  Scenario Outline: A header with a rate limit is misread: <headers>
    Then an answer with each of "<headers>" names a rate of "<rate>"

    Examples:
      | headers                                                   | rate      |
      | server-limit: 2.5 / server-limit:  2.5                    | 2.5       |
      | server-limit: 10, server-limit: 3 / server-limit: 4; 3    | 3.0       |
      | server-limit: junk, server-limit: 3                       | 3.0 junk  |
      | server-limit: 999999999                                   | 999999999.0 |
      | server-limit: 0 / server-limit: 0.0 / server-limit: -1    | none junk |
      | server-limit: 1e1 / server-limit: nan / server-limit: inf | none junk |
      | server-limit: 99999999999 / server-limit:                 | none junk |
      | bluebellbay-warmup-ms: 5                                  | none      |

  Scenario: A replica's rate limit is forwarded as this node's
    Then no caller sees a replica's rate limit

  Scenario Outline: A replica gets more than its limit: <nodes> nodes, <load>
    Given <nodes> nodes whose callers send <per_s> <load> a second
    When a replica of each service names a limit of <rate> for 12 s
    Then no 4 s bring it more than one and a half times that and 5 requests

    Examples:
      | nodes | load     | per_s | rate |
      | 4     | requests | 60    | 5    |
      | 4     | queries  | 20    | 2    |
      | 78    | requests | 90    | 3    |
      | 78    | queries  | 40    | 0.4  |
      | 480   | requests | 200   | 3    |

  Scenario Outline: A limit is passed while nodes are <event>
    Given 12 nodes whose callers send 90 requests a second
    When a replica of each service names a limit of 4 for 12 s
    And nodes are <event> meanwhile
    Then no 4 s bring it more than one and a half times that and 5 requests

    Examples:
      | event                |
      | cut off              |
      | restarted            |
      | restarted in a crash |

  Scenario Outline: What a limited replica takes is left unused: <nodes> nodes
    Given <nodes> nodes whose callers send <per_s> requests a second
    When each replica names a limit of <rate> for 30 s
    Then at least <least> of what the limits allow is used
    And what doesn't fit is refused within 0.1 s, with at most 3 asks a request

    Examples:
      | nodes | per_s | rate | least |
      | 4     | 60    | 5    | 0.8   |
      | 78    | 60    | 1    | 0.8   |
      | 480   | 60    | 2    | 0.8   |

  Scenario Outline: Nodes go on keeping to a limit that has ended: <nodes> nodes
    Given <nodes> nodes whose callers send <per_s> requests a second
    When a replica of each service names a limit of <rate> for 12 s
    Then 20 s after its end it gets at least half of an equal share again

    Examples:
      | nodes | per_s | rate |
      | 4     | 60    | 0.1  |
      | 78    | 90    | 3    |
      | 480   | 200   | 0.5  |

  Scenario: A limit is passed in some history of a fleet
    Then over random histories of a fleet no limit is passed

  Scenario Outline: A peer's message about a limit harms the node: <news>
    Then an ask that tells a rate and an age of "<news>" is refused unread

    Examples:
      | news      |
      | inf 1     |
      | nan 1     |
      | 0 1       |
      | -1 1      |
      | 1e300 1   |
      | 3 inf     |
      | 3 nan     |
      | 3 -1      |

  Scenario Outline: A permit is used for a replica that is <event> since the ask
    Given a node that asks a lender for a request to its only replica
    When the replica is <event> before the lender permits it
    Then the request is refused as not run

    Examples:
      | event    |
      | removed  |
      | draining |
      | replaced |

  Scenario: Programs pass a limit together, or can't lend each other what it allows
    Given 3 programs in 3 failure domains, which have known each other for 13 s
    When both posting servers name a limit of 2 and 60 postings come
    Then each of them ran at most 15, and programs lent each other some
    And each posting that was refused has not run, and says when to return
    When the limits end
    Then within 10 s all of 30 postings run
