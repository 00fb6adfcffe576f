Feature: A program that can't listen on a port ends, before it registers itself

  The process under test is ``python -m bluebellbay_platform``. A program that
  stays without one of its ports is never ready, can't be asked by its peers, or
  serves without health checks or metrics.

  Scenario Outline: The port for <purpose> is taken
    Given another process listens on the program's port for <purpose>
    When the program is started
    Then it exits with code 3 and logs one line, which names the port
    And the store has not heard of it

    Examples:
      | purpose |
      | callers |
      | health  |
      | peers   |
      | metrics |
