Feature: Callers' connections are strictly validated and answered in order

  Scenario: A request is passed on as it came
    Given a caller's connection
    When the caller sends a POST request byte by byte
    Then one request with its complete body is reported
    And its answer is written once the core has answered

  Scenario: Requests sent ahead are taken one after the other
    Given a caller's connection
    When the caller sends 3 pipelined requests
    Then 1 request is reported
    And each answer is followed by the next request

  Scenario: A first request is not aged by the time its connection was idle
    Given a caller's connection with a round trip of 4 ms
    When the connection's clock advances by 2 s
    And the caller sends 1 pipelined requests
    Then its age is 0.002 s, and its answer takes 0.002 s

  Scenario: A first request is as old as its connection if it comes at once
    Given a caller's connection with a round trip of 4 ms
    When the connection's clock advances by 0.03 s
    And the caller sends 1 pipelined requests
    Then its age is 0.036 s, and its answer takes 0.002 s

  Scenario: A further request is as old as its way
    Given a caller's connection with a round trip of 4 ms
    When the caller sends 1 pipelined requests
    And the core answers
    And the caller sends "GET /a/2 HTTP/1.1\r\nHost: h\r\nBluebellbay-Request-Id: id-2\r\n\r\n"
    Then its age is 0.002 s, and its answer takes 0.002 s

  Scenario: The kernel tells the round trip of a connection
    Then the round trip of a connection on this machine is below 5 ms, and of one without a measurement 6 ms

  Scenario: A probe holds up nothing that is sent behind it
    Given a peer's connection
    When the peer sends 2 pipelined probes
    Then both are answered

  Scenario: A caller that leaves is reported
    Given a caller's connection
    When the caller sends 1 pipelined requests
    And the caller closes its connection
    Then its request is reported as abandoned
    And a later answer is discarded

  Scenario Outline: <what> is rejected with <status>
    Given a caller's connection
    When the caller sends "<bytes>"
    Then it is answered <status> and closed
    And no request is reported

    Examples:
      | what                  | status | bytes                                                                                     |
      | a second length       | 400    | POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd        |
      | a length beside chunks | 400    | POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n |
      | a length with a sign  | 400    | POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc                            |
      | a second host         | 400    | GET /a/ HTTP/1.1\r\nHost: h\r\nHost: g\r\n\r\n                                           |
      | no host               | 400    | GET /a/ HTTP/1.1\r\n\r\n                                                                  |
      | another protocol      | 400    | \x16\x03\x01\x02\r\n\r\n                                                                  |
      | a whole address       | 400    | GET http://h/a/ HTTP/1.1\r\nHost: h\r\n\r\n                                               |
      | no request id         | 400    | GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n                                                       |
      | a body too large      | 413    | POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 999999\r\n\r\n                            |

  Scenario: A head that never ends is bounded in bytes
    Given a caller's connection
    When the caller sends 20000 bytes of a header
    Then it is answered 431 and closed

  Scenario: A chunked body is bounded in bytes
    Given a caller's connection
    When the caller sends 300000 bytes in chunks
    Then it is answered 413 and closed

  Scenario: A head that never ends is bounded in time
    Given a caller's connection
    When the caller sends "no request at all"
    And the connection's clock advances by 4 s
    Then it is closed

  Scenario: An idle connection is closed after its limit only
    Given a caller's connection
    When the connection's clock advances by 12 s
    Then it is open
    When the connection's clock advances by 4 s
    Then it is closed

  Scenario: A connection is closed after its answer while keeping is not allowed
    Given a caller's connection
    And the listener closes connections after their answers
    When the caller sends 1 pipelined requests
    And the core answers
    Then the answer announces the close and the connection is closed

  Scenario: Requests sent ahead are answered while keeping is not allowed
    Given a caller's connection
    And the listener closes connections after their answers
    When the caller sends 3 pipelined requests
    Then each answer is followed by the next request
    And only the last answer announces the close

  Scenario: A request received in part is read on while keeping is not allowed
    Given a caller's connection
    And the listener closes connections after their answers
    When the caller sends 1 pipelined requests
    And the caller sends "GET /a/2 HTTP/1.1\r\nHost: h\r\n"
    And the core answers
    Then it is open
    When the caller sends "Bluebellbay-Request-Id: id-2\r\n\r\n"
    And the core answers the second request
    Then it is closed

  Scenario Outline: A body is asked for only when it is its turn: <value>
    Given a caller's connection
    When the caller sends 1 pipelined requests
    And the caller sends a head that expects "<value>"
    Then the caller is not asked for the body
    When the core answers
    Then the caller is asked for the body after the first answer

    Examples:
      | value        |
      | 100-continue |
      | 100-Continue |

  Scenario: No bytes of a caller break the reader
    Then for arbitrary bytes of a caller each request is answered once or rejected

  Scenario: Only a whole answer of a replica is an answer
    Then a replica's response is accepted only if complete and to the request

  Scenario: No bytes of a replica break the reader
    Then for arbitrary bytes of a replica the call ends exactly once
