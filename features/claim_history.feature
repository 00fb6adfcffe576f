Feature: A request that is not repeatable runs at most once, whatever fails

  Scenario: Duplicates, lost answers, outages, freezes and kills
    Then in random histories no request runs twice while its claim is retained
    And the histories covered every fault and every outcome

  Scenario: The same while claims are collected under differing clocks
    Then in random histories no request runs twice though claims are collected
    And the histories covered every fault and every outcome

  Scenario: Duplicates at four nodes at once
    Then a request sent to four nodes at once runs once and all get its outcome

  Scenario: Killed at each step
    Then a node killed at any of its first events leaves at most one run

  Scenario: Each call to the store lost, late or refused
    Then a fault of any single call to the store leaves exactly one run

  Scenario Outline: Store down <when>
    Then an outage that starts <at> s after the first attempt leaves one run

    Examples:
      | when             | at     |
      | before           | -0.001 |
      | between          | 0.005  |
      | after            | 0.016  |

  Scenario: Frozen past the expiry between claim and send
    Then a node that is resumed after the expiry sends nothing
