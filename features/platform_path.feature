Feature: The platform program serves requests as a separate process

  The process under test is ``python -m bluebellbay_platform``; the store and
  the replicas are fakes in the test process. A posting is a POST request that
  may run at most once.

  Scenario: The whole path is served
    Given a fake store, 4 fake shards and 2 fake posting servers
    And the program is running and ready
    Then a query is answered with the 5 greatest records of 4 shards
    And a posting reaches one server exactly once, with its body unchanged
    And an unknown path is answered 404
    And the metrics show one whole exchange and configuration version 7

  Scenario: A new configuration is in force within 3 s, an older one never
    Given a fake store, 4 fake shards and 2 fake posting servers
    And the program is running and ready
    When a newer configuration moves the posting route to another path
    Then within 3 s the new path is answered 200 and the old one 404
    When a configuration with a lower version is written
    Then the new path is still answered 200 and the old one 404

  Scenario: A server that drains gets nothing new
    Given a fake store, 4 fake shards and 2 fake posting servers
    And the program is running and ready
    When the store entry of one posting server changes to draining
    Then 3 s later all postings reach the other posting server

  Scenario: Started without the store, it serves once the store is there
    Given a fake store, 4 fake shards and 2 fake posting servers
    And the store stops answering
    And the program is running but not ready
    Then a query is answered 503 with a Retry-After header
    When the store answers again
    Then the program is ready
    And a query is answered with the 5 greatest records of 4 shards

  Scenario: Without the store it goes on with what it knows
    Given a fake store, 4 fake shards and 2 fake posting servers
    And the program is running and ready
    When the store stops answering
    And 2 s pass without the store
    Then a query is answered with the 5 greatest records of 4 shards

  Scenario: An ordered end cuts no request off
    Given a fake store, 4 fake shards and 2 fake posting servers
    And the program is running and ready
    When a posting server starts a posting that takes 2 s
    And the program receives SIGTERM
    Then the program reports within 1 s that it is not ready
    And the posting is answered 200 and the connection is closed
    And the program exits with code 0

  Scenario: Settings that can't be used are a line of the log and exit code 2
    Given the program is started without the store's address in its settings
    Then the program exits with code 2 and logs the missing field

  Scenario: Changed settings hold without a restart, and bad ones change nothing
    Given a fake store, 4 fake shards and 2 fake posting servers
    And the program is running and ready
    When the settings file allows 7 extra retries and SIGHUP is sent
    Then the program applies the limit of 7 extra retries
    When the settings file allows 9 extra retries, without a signal
    Then the program applies the limit of 9 extra retries
    When the settings file loses the store's address
    Then the program logs that it kept the previous settings
    And a query is answered with the 5 greatest records of 4 shards

  Scenario: A planned stop under load answers all that callers sent
    Given a fake store, 4 fake shards and 2 fake posting servers
    And the program is running and ready
    When 8 callers keep sending queries, every second one two at a time
    And a caller sends half of a query that it completes 3.3 s after the stop
    And the program receives SIGTERM, SIGHUP and SIGTERM again
    Then every query was answered whole
    And the program exits with code 0

  Scenario: A planned stop cuts off postings that came late in its grace
    Given a fake store, 4 fake shards and 2 fake posting servers
    And the program is running and ready, with a grace of 6 s
    When posting servers take 10 s a posting
    And the program receives SIGTERM
    And a posting is sent 2 s later, and half of another one that is whole after 3.3 s
    Then the first posting is answered 504 as it may have run
    And the second posting is answered 503 within 1 s and ran nowhere
    And the program exits with code 0

  Scenario Outline: Replicas that send without end take a node's memory: <mode>
    Given a fake store, 4 fake shards and 2 fake posting servers
    And the program is running and ready
    When both posting servers <mode> to 16 callers at once
    Then queries are answered meanwhile
    And no posting was answered 200, and each was answered
    And the program's memory grew by less than 32 MB

    Examples:
      | mode                    |
      | send without end        |
      | send a body without end |

  Scenario: A SIGHUP while the program starts ends it
    Given a program whose start is interrupted by SIGHUP while it imports
    Then it checks its settings and exits with code 0
