Feature: A replica, store or entry VM that misbehaves harms no answer and no node

  Scenario: A head that breaks off after any byte is no response
    Given a link to a scripted replica
    Then a response whose head breaks off after any byte is a failure, closed or reset, on a new and on a reused connection

  Scenario Outline: A body that breaks off is no response: <body>
    Given a link to a scripted replica
    When a request is answered with "<response>" and then <end>
    Then the attempt failed and may have run

    Examples:
      | body                                | response                                        | end    |
      | short of its length, closed         | Content-Length: 9\r\n\r\nshort                  | closed |
      | short of its length, reset          | Content-Length: 9\r\n\r\nshort                  | reset  |
      | chunks without an end, closed       | Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n | closed |
      | within a chunk, closed              | Transfer-Encoding: chunked\r\n\r\n9\r\nshort    | closed |
      | without a length, reset             | Connection: close\r\n\r\nshort                  | reset  |

  Scenario Outline: A status that is none is passed on, or waited behind: <status>, <body>
    Given a link to a scripted replica
    When a request is answered with status <status> and "<rest>", then <end>
    Then the attempt failed and may have run

    Examples:
      | status | body             | rest                                       | end       |
      | 000    | with a length    | Content-Length: 5\r\n\r\nshort             | kept open |
      | 000    | empty            | Content-Length: 0\r\n\r\n                  | kept open |
      | 000    | to the close     | \r\nshort                                  | closed    |
      | 000    | in chunks        | Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n | kept open |
      | 099    | with a length    | Content-Length: 5\r\n\r\nshort             | kept open |
      | 099    | to the close     | \r\nshort                                  | closed    |
      | 600    | with a length    | Content-Length: 5\r\n\r\nshort             | kept open |
      | 999    | to the close     | \r\nshort                                  | closed    |

  Scenario Outline: A second copy of a response is never the next one: <copy>
    Given a link to a scripted replica
    When a request is answered and a second copy of the response comes <copy>
    Then the next request gets its own response or a failure

    Examples:
      | copy                                          |
      | between the requests                          |
      | split around the next request                 |
      | in one packet with the right response         |
      | before the right response, without an id      |
      | between the requests, without an id           |

  Scenario Outline: A request runs twice after a late copy of an answer: <answer>, <method>, <id>
    Given a link to a scripted replica
    Then a copy of <answer> to a <method> request, <id>, at any later point of its connection, is never taken for the answer to another send

    Examples:
      | answer     | method | id            |
      | a refusal  | POST   | with its id   |
      | a refusal  | POST   | without an id |
      | a refusal  | GET    | with its id   |
      | a refusal  | GET    | without an id |
      | status 421 | POST   | with its id   |
      | status 421 | POST   | without an id |
      | status 500 | POST   | with its id   |
      | status 500 | GET    | with its id   |
      | a success  | POST   | with its id   |
      | a success  | GET    | with its id   |

  Scenario Outline: Bytes without end are cut off: <bytes>
    Given a link to a scripted replica
    When a request is answered with <bytes> without end
    Then the attempt failed and may have run
    And the replica could send no more than 4 MiB

    Examples:
      | bytes                          |
      | a status line                  |
      | a header value                 |
      | header lines                   |
      | interim responses              |
      | a response to another request  |
      | a chunk extension              |
      | a trailer                      |
      | a shard's body                 |
      | a shard's body in chunks       |
      | a shard's body to the close    |

  Scenario: Many replicas that send without end take a bounded memory
    Given a link to 64 scripted replicas
    When each is asked at once and sends a plain body without end
    Then every attempt failed
    And the process took less than 32 MB above its idle size

  Scenario: Small responses pass while others are sent without end
    Given a link to 8 scripted replicas
    When all but one send a plain body without end
    Then the last one's response arrives whole

  Scenario Outline: A store that sends bytes without end is cut off: <bytes>
    Given a store link to a scripted server
    When a key is read and answered with <bytes> without end
    Then the store link reports a failure that may have taken effect
    And the server could send no more than 8 MiB

    Examples:
      | bytes                       |
      | a status line               |
      | a header value              |
      | header lines                |
      | interim responses           |
      | a chunk extension           |
      | a trailer                   |
      | a shard's body              |
      | a shard's body in chunks    |
      | a shard's body to the close |

  Scenario: A late answer of the store about another key is not taken
    Given a store link to a scripted server
    When a key is read and answered with the state of another key
    Then the store link reports a failure that may have taken effect

  Scenario: An entry VM that stops in its status doesn't hold up the operator
    Given an entry VM that is a scripted server
    When the operator's program reads its status, half of which comes
    Then within 10 s the VM counts as not reached
