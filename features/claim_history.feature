Feature: A request that is not repeatable runs at most once, whatever fails

  Scenario: Duplicates, lost answers, outages, freezes and kills
    Then over random histories no request runs twice while its claim is kept
    And the histories met every fault and every outcome

  Scenario: The same while claims are collected under differing clocks
    Then over random histories no request runs twice though claims are collected
    And the histories met every fault and every outcome
