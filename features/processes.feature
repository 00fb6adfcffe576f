Feature: Separate processes answer correctly despite kills, cut-off domains and bad input

  Scenario: Kills of a daemon, a server and the store leave answers true
    Given a cluster of daemons over processes
    When callers query press-desk continuously
    And entry-2 is killed and restarted
    And the process of server press-desk-02-a is killed and restarted
    And the store's process is killed and restarted
    And the callers stop
    Then every answer is correct, complete and belongs to its request
    And connections broke only to entry-2, and only while it was down
    And no daemon logged an unexpected error

  Scenario: A cut-off failure domain serves what it can, truly labelled
    Given a cluster of daemons over processes
    When failure domain mazowsze-b is cut off by drop
    Then queries at entry-2 eventually cover exactly the share 0.75 that is in its domain
    And queries at entry-1 are eventually answered completely
    When failure domain mazowsze-b is joined again
    Then queries at entry-2 are eventually answered completely
    And every answer received until then was correct
    And no daemon logged an unexpected error

  Scenario: Bad input is answered by its kind and sent nowhere
    Given a cluster of daemons over processes
    Then each of these is answered not-run and no backend server gets a leg
      | kind               | status | index      | body |
      | malformed          | 400    | press-desk | {"request_id": "r |
      | malformed          | 400    | press-desk | [1, 2] |
      | malformed          | 400    | press-desk | {"request_id": "r"} |
      | malformed          | 400    | press-desk | {"profile": "whole", "deadline_ms": -1} |
      | unknown-index      | 404    | nowhere    | {"request_id": "r", "profile": "whole"} |
      | unknown-profile    | 404    | press-desk | {"request_id": "r", "profile": "none"} |
      | missing-request-id | 400    | ledgerrun  | {"profile": "settlement", "repeatable": false, "expires_at": SOON} |
      | missing-expiry     | 400    | ledgerrun  | {"request_id": "r", "profile": "settlement", "repeatable": false} |
      | expired            | 410    | ledgerrun  | {"request_id": "r", "profile": "settlement", "repeatable": false, "expires_at": 5} |
      | ambiguous-target   | 400    | press-desk | {"request_id": "r", "profile": "settlement", "repeatable": false, "expires_at": SOON} |
      | body-too-large     | 413    | press-desk | OVERSIZED |
