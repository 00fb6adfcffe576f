Feature: Client accounts are told by their keys, which go no further

  Scenario Outline: A request with <form> is answered <status>
    Given a node with accounts "acme" and "other"
    When a request comes with <form>
    Then it is answered <status>, and was sent to <sent> replicas as "<account>"

    Examples:
      | form                                | status | sent | account |
      | Authorization "Bearer key-acme"     | 200    | 1    | acme    |
      | Authorization "bEARER key-acme"     | 200    | 1    | acme    |
      | Authorization "Bearer   key-acme  " | 200    | 1    | acme    |
      | Authorization "Bearer key-other"    | 200    | 1    | other   |
      | Authorization "Bearer key-unknown"  | 401    | 0    |         |
      | Authorization "Bearer key-acme x"   | 401    | 0    |         |
      | Authorization "Basic key-acme"      | 401    | 0    |         |
      | Authorization "Bearer "             | 401    | 0    |         |
      | Authorization "Bearer"              | 401    | 0    |         |
      | Authorization "key-acme"            | 401    | 0    |         |
      | Authorization ""                    | 401    | 0    |         |
      | no Authorization                    | 401    | 0    |         |
      | Authorization twice                 | 401    | 0    |         |

  Scenario Outline: On a public route <form> is no hindrance
    Given a node with accounts "acme" and "other"
    When a request to a public route comes with <form>
    Then it is answered 200, and was sent to 1 replicas as "<account>"

    Examples:
      | form                               | account |
      | no Authorization                   |         |
      | Authorization "Bearer key-unknown" |         |
      | Authorization "Bearer key-acme"    | acme    |

  Scenario: Without a list of accounts, headers are forwarded as before
    Given a node without accounts
    When a request comes with Authorization "Bearer key-acme"
    Then it is answered 200, and its Authorization reached the replica

  Scenario: With an empty list, no key is good
    Given a node with an empty list of accounts
    When a request comes with Authorization "Bearer key-acme"
    Then it is answered 401, and was sent to 0 replicas as ""

  Scenario: Before the first configuration, nobody is told that a key is bad
    Given a node without a configuration
    When a request comes with Authorization "Bearer key-acme"
    And 0.5 s pass
    Then it is answered 503, and was sent to 0 replicas as ""

  Scenario: A key follows the configuration in force when a request arrives
    Given a node with accounts "acme" and "other"
    When the key of "acme" is withdrawn while its request is retried
    Then both attempts name "acme"
    And the next request with that key is answered 401
    When that key is given to "other"
    Then the next request with that key runs as "other"
    When both accounts list that key, "acme" first
    Then the next request with that key runs as "acme"
    When the list of accounts is gone
    Then the next request with that key runs as ""

  Scenario: All attempts of a query name the account, but not its key
    Given a node with accounts "acme" and "other"
    When a query over 4 shards is retried and hedged
    Then more than 4 attempts were sent, and each names "acme"
    And no command and no log line holds a key

  Scenario: Peers are told the account and its priority, but not its key
    Given a node with accounts among 12 nodes
    When a query over 48 shards is delegated
    Then each peer is told "acme" and its priority 0
    And no command and no log line holds a key
    When a peer runs its part, also without that account
    Then all of its attempts name "acme"
    And the peer admits it with priority 0

  Scenario: A priority of an account replaces that of the route
    Given a node with accounts "acme" and "other"
    Then queries of "acme" are admitted with priority 0, of "other" with 1

  Scenario: A caller can't name an account itself
    Then Bluebellbay-Tenant-Id of callers is removed with and without accounts

  Scenario Outline: An account with <fault> makes the configuration unreadable
    Then the configuration is refused for an account with <fault>, without keys

    Examples:
      | fault                        |
      | {"api-keys": ["secret-key"]} |
      | {"name": ""}                 |
      | {"name": "a b"}              |
      | {"name": "a\n"}              |
      | {"name": "é"}                |
      | {"name": 7}                  |
      | {"name": "a", "api-keys": "secret-key"}          |
      | {"name": "a", "api-keys": ["secret-key", 8]}     |
      | {"name": "a", "priority": "secret-key"}          |
      | {"name": "a", "rate-per-s": -1}                  |

  Scenario: 10,000 accounts come into force at once
    Then 10,000 accounts of 4 keys take effect for less than 2.5 times the price of reading them as JSON
    And they hold less than 16 MB
