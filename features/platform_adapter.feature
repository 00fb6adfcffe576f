Feature: Only the platform adapter knows the platform's formats

  Scenario: No module outside the adapter knows a name of the wire
    Then no module under packages/ has a header, path or key of the adapter

  Scenario: A configuration is decoded into the product's own types
    When a configuration with a plain, a split and a query route is decoded
    Then the decoded routes, services and limits have the written values

  Scenario: An unreadable configuration leaves the last one in force
    Then each invalid or removed configuration is reported and not decoded

  Scenario: An entry of a replica is decoded whole or names no replica
    Then each entry with a missing or invalid field is reported as unlisted
    And no entry whose id can't be sent in a header names a replica
    And a node whose address can't be used has none

  Scenario: No bytes in the store break the decoders
    Then generated items raise no error and each replica has an id and slots

  Scenario: Settings that can't be used end the program with exit code 2
    Then the error names the field that is missing or has the wrong type

  Scenario Outline: A deadline of many digits closes the connection: <digits>
    Then a request with a deadline of <digits> digits has none

    Examples:
      | digits |
      | 20     |
      | 400    |
      | 5000   |

  Scenario: Headers of one connection stay on it
    Then a replica's answer is forwarded without its hop-by-hop headers

  Scenario Outline: An error "<kind>" of a request that <ran> run has status <status>
    Then the error "<kind>" is sent with status <status> if it <ran> run

    Examples:
      | kind           | ran     | status |
      | no route       | did not | 404    |
      | not configured | did not | 503    |
      | refused        | did not | 503    |
      | timed out      | did not | 503    |
      | timed out      | may have | 504   |
      | replica failed | may have | 502   |
      | too few shards | may have | 502   |

  Scenario: The limits on the age of what is known are those of the settings
    Then the settings' times to drain, to apply, of contact and of heartbeats are the limits
