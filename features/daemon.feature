Feature: The daemon serves callers, balancer and operators

  Scenario: Requests that can't be read are refused as not run
    Given a daemon whose core holds requests back
    When a caller sends the body "{\"profile\": " to it
    Then the caller gets status 400 and error "malformed" as not run
    When a caller sends the body "{\"profile\": 3}" to it
    Then the caller gets status 400 and error "malformed" as not run
    When a caller sends the body "{\"profile\": \"p\", \"key\": 4294967296}" to it
    Then the caller gets status 400 and error "malformed" as not run
    When a caller sends a body nested 30000 deep to it
    Then the caller gets status 400 and error "malformed" as not run
    When a caller sends a body of 100000 bytes to it
    Then the caller gets status 413 and error "body-too-large" as not run
    And the core has been told of no request

  Scenario: A head that is not finished in time ends its connection
    Given a daemon whose core holds requests back, with 0.3 s for a head
    When a caller sends bytes that are no line, again and again
    Then it is answered 408 and its connection is closed
    When callers "a" send a request each
    And 0.5 s pass at the daemon
    And the core answers callers "a" with 1 rows each
    Then callers "a" have each read their own whole answer

  Scenario: Each caller gets its own whole answer
    Given a daemon whose core holds requests back
    When callers "a b c" send a request each
    And the core answers callers "c a b" with 20000 rows each
    Then callers "a b c" have each read their own whole answer

  Scenario: A caller that goes away is told to the core
    Given a daemon whose core holds requests back
    When callers "a b" send a request each
    And caller "a" closes its connection
    Then the core is told that caller "a" is gone
    When the core answers callers "b" with 1 rows each
    Then callers "b" have each read their own whole answer

  Scenario: Health, status, configuration and metrics are served
    Given a daemon whose core holds requests back
    Then GET "/v1/health" gives status 503
    When the core reports itself as healthy
    Then GET "/v1/health" gives status 200
    And GET "/v1/status" gives status 200
    And GET "/v1/configuration" gives status 404
    When a configuration of revision 4 is in force at the daemon
    Then GET "/v1/configuration" gives status 200
    And GET "/metrics" gives status 200
    And the metrics hold "bluebellbay_configuration_revision 4.0"
    When the core reports itself as leaving
    Then GET "/v1/health" gives status 503

  Scenario: The process ends only once its last answer has left
    Given a daemon whose core holds requests back
    When callers "a" send a request each
    And the core answers callers "a" with 200000 rows each and stops
    Then callers "a" have each read their own whole answer
    And the daemon has stopped

  Scenario: Time at the daemon neither goes back nor jumps, and meets the wall's
    Then for any steps of the wall clock the daemon's time goes on steadily
    And once the wall clock is steady the daemon's time meets it

  Scenario: Settings are checked with a line for each fault
    When bluebellbayd checks settings with two faults
    Then it ends with exit code 2 and names "node.name" and "limits.queries"
    When bluebellbayd checks good settings
    Then it ends with exit code 0
