Feature: The guarantees to callers hold over random histories

  Scenario: An answer's rows, coverage and snapshot always agree
    Then over random histories every answer's rows match its coverage and snapshot

  Scenario: Replies that overlap are merged once
    Then for any replies of one snapshot no row is merged twice

  Scenario: A query is never partial for a roll-out's sake
    Then over random roll-outs every query is answered in full

  Scenario: A repartition in mid-query never leaves a hole
    Then over random repartitions every query is answered in full

  Scenario: Extra legs stay within the profile in each window of ten seconds
    Then over random loads extra legs never exceed the profile's share

  Scenario: Ejection never empties a service
    Then over random failures each service always has a replica that is not ejected
