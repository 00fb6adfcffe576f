Feature: A request that is not repeatable runs at most once, whatever fails

  Scenario: Duplicates, lost answers, outages, freezes and kills
    Then over random histories no request runs twice while its claim is kept
    And the histories met every fault and every outcome

  Scenario: The same while claims are collected under differing clocks
    Then over random histories no request runs twice though claims are collected
    And the histories met every fault and every outcome

  Scenario: Duplicates at four nodes at once
    Then a request sent to four nodes at once runs once, and all agree

  Scenario: Killed at each step
    Then a node killed at each of its steps leaves at most one run

  Scenario: Each call to the store lost, late or refused
    Then each answer that the store loses leaves at most one run

  Scenario Outline: Store down <when>
    Then an outage <at> seconds from the first attempt leaves one run

    Examples:
      | when             | at     |
      | before           | -0.001 |
      | between          | 0.005  |
      | after            | 0.016  |

  Scenario: Frozen past the expiry between claim and send
    Then a node that thaws after the expiry sends nothing
