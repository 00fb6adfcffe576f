Feature: Separate processes answer truly through kills and bad input

  Scenario: Kills of a daemon, a server and the store leave answers true
    Given a cluster of daemons over processes
    When callers query press-desk without pause
    And entry-2 is killed and started again
    And the process of server press-desk-02-a is killed and started again
    And the store's process is killed and started again
    And the callers stop
    Then every answer is true, whole and its caller's own
    And only exchanges with entry-2 broke, and none while it was up
    And no daemon met an error that it did not expect

  Scenario: A cut-off failure domain serves what it can, truly labelled
    Given a cluster of daemons over processes
    When failure domain mazowsze-b is cut off by drop
    Then queries at entry-2 come to cover exactly the 0.75 within its domain
    And queries at entry-1 come to be answered whole
    When failure domain mazowsze-b is joined again
    Then queries at entry-2 come to be answered whole
    And every answer meanwhile was true
    And no daemon met an error that it did not expect

  Scenario: Bad input is answered by its kind and sent nowhere
    Given a cluster of daemons over processes
    Then each of these is told not-run and no backend server sees a leg
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
