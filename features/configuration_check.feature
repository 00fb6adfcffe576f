Feature: bluebellctl checks a configuration before it is stored

  Scenario: A configuration without faults exits with 0
    When a configuration is checked
    Then the check exits with 0 and prints 0 errors, 0 warnings

  Scenario Outline: What can't match or contradicts itself is a warning: <kind> at <path>
    When a configuration is checked with <value> at <field>
    Then the check exits with 1
    And the only finding is a warning "<kind>" at <path> on its line

    Examples: entries that can never match
      | field                              | value                                        | kind                | path                          |
      | routes[1].prefix                   | "/a/"                                        | prefix hidden       | routes[1].prefix              |
      | routes[1].prefix                   | "b/"                                         | prefix unreachable  | routes[1].prefix              |
      | routes[1].name                     | "plain"                                      | name repeated       | routes[1].name                |
      | tenants[1].api-keys                | []                                           | account without key | tenants[1].api-keys           |
      | tenants[1].api-keys                | [" k3 ", "k4"]                               | key unusable        | tenants[1].api-keys           |
      | tenants[1].api-keys                | ["k3", "k1"]                                 | key repeated        | tenants[1].api-keys[1]        |
      | tenants[1].api-keys                | ["k3", "k3"]                                 | key repeated        | tenants[1].api-keys[1]        |
      | tenants[1].name                    | "large"                                      | name repeated       | tenants[1].name               |
      | services[4]                        | {"name": "z", "max-connections": 4}          | service unused      | services[4].name              |
      | services[4]                        | {"name": "x", "max-connections": 4}          | name repeated       | services[4].name              |
      | routes[1].weighted-split[1].weight | 0                                            | weight zero         | routes[1].weighted-split[1]   |
      | routes[2].service                  | "s"                                          | service ignored     | routes[2].service             |
      | version                            | 0                                            | version too low     | version                       |

    Examples: limits that contradict each other
      | field                       | value | kind                     | path                        |
      | routes[0].target-latency-ms | 1001  | objective above time-out | routes[0].target-latency-ms |
      | routes[0].timeout-ms        | 0     | time-out too low         | routes[0].timeout-ms        |
      | routes[0].max-attempts      | 4     | attempts above replicas  | routes[0].max-attempts      |
      | routes[2].min-shard-ratio   | 0.9   | coverage without loss    | routes[2].min-shard-ratio   |
      | routes[2].min-shard-ratio   | 1.1   | coverage unreachable     | routes[2].min-shard-ratio   |
      | tenants[0].burst            | 0     | quota without room       | tenants[0].rate-per-s       |
      | tenants[1].burst            | 5     | burst without rate       | tenants[1].burst            |
      | services[0].warmup-per-s    | 20    | warm-up below nodes      | services[0].warmup-per-s    |

  Scenario Outline: What nodes would refuse is an error, with path and line: <path>
    When a configuration is checked with <value> at <field>
    Then the check exits with 2
    And the only finding is an error "unreadable" at <path> on its line

    Examples:
      | field                              | value    | path                     |
      | routes[1].hostname                 | 7        | routes[1].hostname       |
      | routes[0].service                  | null     | routes[0]                |
      | tenants[0].name                    | "a b"    | tenants[0].name          |
      | tenants[1].api-keys                | ["k", 1] | tenants[1].api-keys[1]   |
      | services[0].warmup-per-s           | -1       | services[0].warmup-per-s |
      | limits                             | {}       | limits                   |

  Scenario: Every entry with an error is told at once
    When a configuration with an error in a route, a service and two accounts is checked
    Then the check exits with 2
    And the findings are at routes[1].hostname routes[2] services[0].warmup-per-s tenants[0].name tenants[1].api-keys[1]

  Scenario: A file that is no JSON is an error on the line of the fault
    When the text of a configuration is checked with a comma too many on line 2
    Then the check exits with 2
    And the only finding is on line 2

  Scenario: Differences from the version in force are told by meaning
    When a configuration is checked against one in force that differs
    Then the check exits with 0
    And it prints each difference once, and none without a meaning

  Scenario: A version that isn't above the one in force is a warning
    When a configuration is checked against a changed one of the same version
    Then the check exits with 1 and prints nodes ignore version 7

  Scenario: The check and the nodes agree on what can be read
    Then for all changed configurations there is an error if the nodes raise one

  Scenario: No output holds a key
    Then for all configurations neither text nor JSON holds a key

  Scenario: Without the platform's adapter the check says so
    When a configuration is checked where the adapter is not installed
    Then the check exits with 2 and prints bluebellbay_platform

  Scenario: The product's own document is checked by its own rules
    When a document of profiles with a rank of 12 on line 7 is checked
    Then the check exits with 2
    And the only finding is on line 7
    When a document of profiles is checked against one in force
    Then the check exits with 0 and prints rank 1

  Scenario: The program prints JSON and exits with the code of the check
    When the program checks a configuration with a service that no route names
    Then the check exits with 1
    And the only finding is a warning "service unused" at services[4].name on its line
