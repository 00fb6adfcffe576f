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
