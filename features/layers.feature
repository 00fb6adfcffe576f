Feature: Each layer imports only the layers it may depend on

  Scenario Outline: The <layer> layer imports only what it may
    Then the modules of <layer> import nothing outside <allowed>

    Examples:
      | layer        | allowed                                       |
      | protocol     | bluebellbay.protocol                          |
      | state        | bluebellbay.protocol bluebellbay.state bluebellbay.settings |
      | coordination | bluebellbay.protocol bluebellbay.state bluebellbay.settings bluebellbay.coordination |
      | transport    | bluebellbay.protocol bluebellbay.settings bluebellbay.transport |

  Scenario: The decision core knows no socket, clock or global randomness
    Then no module of state or coordination imports a clock or a network
    And no module of state or coordination calls the global random source

  Scenario: The routing program loads nothing of the query core
    Then the program on the users' platform loads no module of these
      | module                       |
      | bluebellbay.protocol.command |
      | bluebellbay.protocol.event   |
      | bluebellbay.protocol.answer  |
      | bluebellbay.settings         |
      | expression                   |
      | klein                        |
      | pydantic                     |
      | twisted.web.server           |
