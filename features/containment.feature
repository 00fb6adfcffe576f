Feature: One unexpected error ends neither the program nor other requests

  Scenario: A command that fails doesn't stop the commands after it
    Given a driver whose core answers each event with 3 commands
    When the second command of an event fails
    Then the other two commands were executed and the failure was reported
    And the core's next timer is still set

  Scenario: An event on which the core fails doesn't stop the next one
    Given a driver whose core answers each event with 3 commands
    When the core fails on an event
    Then the failed event was reported
    And the 3 commands of the next event are executed

  Scenario Outline: What the core waits for is ended if its command failed
    Given a command to <action> that failed
    Then the core is told that <result>

    Examples:
      | action                       | result                            |
      | send an attempt to a replica | the attempt failed and may have run |
      | delegate a query to a peer   | the attempt failed and may have run |
      | send a leg to a server       | the leg failed and may have run   |
      | probe a peer                 | the peer did not answer           |

  Scenario: A request on whose arrival the core fails is answered
    Given a routing daemon in this process
    When its core fails on the arrival of a request
    Then the caller is told by status 502 that it may have run
    And the error was counted
    And the next request on that connection is answered

  Scenario: A query on whose arrival the core fails is answered as unknown
    Given a query daemon in this process
    When its core fails on the arrival of a query
    Then the caller gets status 502 and the outcome "unknown"

  Scenario: A caller doesn't wait for an answer that can't be written
    Given a caller's connection whose answer can't be encoded
    When the answer is given
    Then the connection was aborted and the error reported

  Scenario Outline: Deep nesting is taken for an unexpected error: <message>
    Given <message> that nests 3000 levels deep
    Then it is taken for one that can't be decoded

    Examples:
      | message              |
      | a peer's answer      |
      | a peer's query       |
      | an answer of a store |
      | a settings file      |
      | a daemon's settings  |

  Scenario: Changes of the settings aren't noticed after one that can't be loaded
    Given a settings file that is watched
    When it is changed, and its loading raises an unexpected error
    And it is changed again
    Then the last change is applied
