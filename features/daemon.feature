Feature: The daemon serves callers, the balancer and operators

  Scenario: Requests that can't be read are refused as not run
    Given a daemon whose core answers only when a step says so
    When a caller sends the body "{\"profile\": " to the daemon
    Then the caller gets status 400, error "malformed" and outcome "not-run"
    When a caller sends the body "{\"profile\": 3}" to the daemon
    Then the caller gets status 400, error "malformed" and outcome "not-run"
    When a caller sends the body "{\"profile\": \"p\", \"key\": 4294967296}" to the daemon
    Then the caller gets status 400, error "malformed" and outcome "not-run"
    When a caller sends a query nested 30000 levels deep to the daemon
    Then the caller gets status 400, error "malformed" and outcome "not-run"
    When a caller sends a body of 100000 bytes to the daemon
    Then the caller gets status 413, error "body-too-large" and outcome "not-run"
    And no request has reached the core

  Scenario: A head that is not finished in time ends its connection
    Given a daemon whose core answers only when a step says so, and a time-out of 0.3 s for the request head
    When a caller keeps sending bytes without a line end
    Then the caller gets status 408 and its connection is closed
    When callers "a" each send a request
    And 0.5 s pass at the daemon
    And the core answers callers "a" with 1 rows each
    Then callers "a" each receive the complete answer to their request

  Scenario: Each caller gets its own whole answer
    Given a daemon whose core answers only when a step says so
    When callers "a b c" each send a request
    And the core answers callers "c a b" with 20000 rows each
    Then callers "a b c" each receive the complete answer to their request

  Scenario: A caller that goes away is told to the core
    Given a daemon whose core answers only when a step says so
    When callers "a b" each send a request
    And caller "a" closes its connection
    Then the core is notified that caller "a" has disconnected
    When the core answers callers "b" with 1 rows each
    Then callers "b" each receive the complete answer to their request

  Scenario: Health, status, configuration and metrics are served
    Given a daemon whose core answers only when a step says so
    Then GET "/v1/health" gives status 503
    When the core reports itself as healthy
    Then GET "/v1/health" gives status 200
    And GET "/v1/status" gives status 200
    And GET "/v1/configuration" gives status 404
    When a configuration of revision 4 is in force at the daemon
    Then GET "/v1/configuration" gives status 200
    And GET "/metrics" gives status 200
    And the metrics contain the line "bluebellbay_configuration_revision 4.0"
    When the core reports itself as not healthy
    Then GET "/v1/health" gives status 503

  Scenario: What callers have sent is answered before the process ends
    Given a daemon whose core answers only when a step says so
    When 20 callers connect and send a query, and the process is stopped before it has accepted them
    And a caller that has sent half of a query sends the rest 0.4 s later
    And the core answers all callers
    Then each of these callers receives an answer
    And the daemon has stopped

  Scenario: The process ends only once its last answer has left
    Given a daemon whose core answers only when a step says so
    When callers "a" each send a request
    And the core answers callers "a" with 200000 rows each and stops the process
    Then callers "a" each receive the complete answer to their request
    And the daemon has stopped

  Scenario: Time at the daemon neither goes back nor jumps, and meets the wall's
    Then under any steps of the wall clock the daemon's clock runs at 0.49 to 1.51 times real time
    And the daemon's clock converges to a wall clock that has no further steps

  Scenario: Settings are checked with a line for each fault
    When bluebellbayd checks settings with two invalid values
    Then bluebellbayd exits with code 2 and reports "node.name" and "limits.queries"
    When bluebellbayd checks valid settings
    Then bluebellbayd exits with code 0
