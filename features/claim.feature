Feature: A request that is not repeatable is claimed before it is sent

  Scenario: Only one of two attempts is granted the claim
    Given a claim store and the claiming nodes a and b
    When node a claims posting-1 and the store answers
    And node b claims posting-1 and the store answers
    Then node a was told granted
    And node b was told held without outcome

  Scenario: A later attempt is told the recorded outcome
    Given a claim store and the claiming nodes a and b
    When node a claims posting-1 and the store answers
    And node a finishes posting-1 as answered and the store answers
    And node b claims posting-1 and the store answers
    Then node b was told held with outcome answered

  Scenario: A claim whose holder ran nothing is taken by the next attempt
    Given a claim store and the claiming nodes a and b
    When node a claims posting-1 and the store answers
    And node a finishes posting-1 as not-run and the store answers
    And node b claims posting-1 and the store answers
    Then node b was told granted

  Scenario: A lost answer of the store is settled by reading back
    Given a claim store and the claiming nodes a and b
    When node a claims posting-1 and the store's answer is lost
    And 0.1 seconds pass and the store answers
    Then node a was told granted

  Scenario: An answer lost while another attempt held the claim
    Given a claim store and the claiming nodes a and b
    When node a claims posting-1 and the store answers
    And node b claims posting-1 and the store's answer is lost
    And 0.1 seconds pass and the store answers
    Then node b was told held without outcome

  Scenario: A store that cannot be read refuses the claim for good
    Given a claim store and the claiming nodes a and b
    When node a claims posting-1 and the store's answer is lost
    And 2 seconds pass and the store is down
    And 10 seconds pass and the store answers
    Then node a was told refused
    When node b claims posting-1 and the store answers
    Then node b was told granted

  Scenario: An answer of the store after the deadline grants nothing
    Given a claim store and the claiming nodes a and b
    When node a claims posting-1 and the store holds writes
    And 2 seconds pass while node a is frozen
    And the store answers
    Then node a was told refused
    When node b claims posting-1 and the store answers
    Then node b was told granted

  Scenario: A store that takes nothing is not asked again after the refusal
    Given a claim store and the claiming nodes a and b
    When node a claims posting-1 and the store is down
    And 2 seconds pass and the store is down
    Then node a was told refused
    And node a has no claim under way
