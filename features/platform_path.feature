Feature: The program serves on the platform, as a process of its own

  Scenario: The whole path is served
    Given a store, 4 shards and 2 posting servers on the platform's wire
    And the program runs
    Then a query is answered from 4 shards with the greatest records
    And a posting reaches a server once, with its body unchanged
    And an unknown path is answered 404
    And the metrics tell of the requests

  Scenario: A new configuration is in force within 3 s, an older one never
    Given a store, 4 shards and 2 posting servers on the platform's wire
    And the program runs
    When the operator moves the posting route to another path
    Then within 3 s the new path is served and the old one is not
    When an older configuration is written
    Then the new path is still served

  Scenario: A server that drains gets nothing new
    Given a store, 4 shards and 2 posting servers on the platform's wire
    And the program runs
    When one posting server says that it drains
    Then within 3 s all postings reach the other one

  Scenario: Started without the store, it serves once the store is there
    Given a store, 4 shards and 2 posting servers on the platform's wire
    And the store is away
    And the program runs, not ready
    Then a query is answered 503 with a time to come back
    When the store is there
    Then the program is ready
    And a query is answered from 4 shards with the greatest records

  Scenario: Without the store it goes on with what it knows
    Given a store, 4 shards and 2 posting servers on the platform's wire
    And the program runs
    When the store is away
    And 2 s pass at the platform
    Then a query is answered from 4 shards with the greatest records

  Scenario: An ordered end cuts no request off
    Given a store, 4 shards and 2 posting servers on the platform's wire
    And the program runs
    When a posting takes 2 s at its server
    And the program is asked to end
    Then it is not ready at once
    And the posting is answered whole
    And the program ends with exit code 0

  Scenario: Settings that can't be used are a line of the log and exit code 2
    Given settings without the address of the store
    Then the program ends with exit code 2 and names the fault

  Scenario: Changed settings hold without a restart, and bad ones change nothing
    Given a store, 4 shards and 2 posting servers on the platform's wire
    And the program runs
    When the settings allow 7 repeats and a signal says so
    Then the program goes on with 7 repeats
    When the settings allow 9 repeats without a signal
    Then the program goes on with 9 repeats
    When the settings become unreadable
    Then the program says that it kept the settings
    And a query is answered from 4 shards with the greatest records
