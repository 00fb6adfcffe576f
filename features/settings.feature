Feature: Settings are validated at startup

  Scenario Outline: The example settings of <user> load at today's size
    When the settings file examples/<user>.yaml is loaded
    Then it holds <services> services in <indexes> indexes

    Examples:
      | user    | services | indexes |
      | wisla   | 52       | 4       |
      | hsinchu | 52       | 4       |

  Scenario Outline: A fault in <key> is named
    Given the settings file examples/wisla.yaml with <key> set to <value>
    Then loading it reports the key <key> in one line

    Examples:
      | key                       | value       |
      | node.listen               | nowhere     |
      | node.name                 | Entry One   |
      | platform.store            | ftp://x:1   |
      | platform.store_timeout_s  | 0           |
      | policy.hedge_quantile     | 2           |
      | policy.hedge_quantil      | 0.9         |
      | limits.body_bytes         | many        |
      | shutdown.limit_s          | -1          |
      | indexes.0.slots           | 0           |
      | peers.0.address           | 127.0.0.1   |

  Scenario: Every fault is named, not only the first
    Given the settings file examples/wisla.yaml with two invalid keys
    Then loading it reports both keys

  Scenario: A file that is no YAML is refused with its place
    Then loading a file that is not valid YAML reports this in one line
