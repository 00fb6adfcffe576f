Feature: The platform's formats are decoded once, and nowhere else

  Scenario: No module outside the adapter knows a name of the wire
    Then no module of the product holds a name that the adapter decodes

  Scenario: A configuration is decoded into the product's own types
    When a configuration with a plain, a split and a query route is read
    Then its routes, services and limits are as they were written

  Scenario: An unreadable configuration leaves the last one in force
    Then whatever the configuration's key holds no configuration is found in it

  Scenario: An entry of a replica is decoded whole or names no replica
    Then an entry lacking a field, or with another type, names no replica

  Scenario: No bytes in the store break the decoders
    Then whatever the store holds each item is read or left out

  Scenario: Settings that can't be used end the program with exit code 2
    Then settings that lack a field or hold a wrong type are named

  Scenario: Headers of one connection stay on it
    Then a replica's answer loses only the headers of its connection

  Scenario Outline: An error "<kind>" of a request that <ran> run has status <status>
    Then the error "<kind>" is written as <status> if it <ran> run

    Examples:
      | kind           | ran     | status |
      | no route       | did not | 404    |
      | not configured | did not | 503    |
      | refused        | did not | 503    |
      | timed out      | did not | 503    |
      | timed out      | may have | 504   |
      | replica failed | may have | 502   |
      | too few shards | may have | 502   |
