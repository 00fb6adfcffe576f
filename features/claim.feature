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

  Scenario: A write that arrives after the refusal holds nothing
    Given a claim store and the claiming nodes a and b
    When node a claims posting-1 and the store delays
    And 2 seconds pass and the store is down
    And 10 seconds pass and the store answers
    Then node a was told refused
    When the delayed write reaches the store
    And node b claims posting-1 and the store answers
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

  Scenario: A record waits a second at most while the store refuses calls
    Given a claim store and the claiming nodes a and b
    When node a claims posting-1 and the store is down
    And 0.1 seconds pass and the store answers
    And node a finishes posting-1 as answered and the store answers
    And node b claims posting-1 and the store answers
    Then node b was told held without outcome
    When 1 seconds pass and the store answers
    And node b claims posting-1 and the store answers
    Then node b was told held with outcome answered at last

  Scenario: A node that closes admission records outcomes at once
    Given a claim store and the claiming nodes a and b
    When node a claims posting-1 and the store is down
    And 0.1 seconds pass and the store answers
    And node a finishes posting-1 as answered and the store answers
    And node a closes admission and the store answers
    And node b claims posting-1 and the store answers
    Then node b was told held with outcome answered

  Scenario: A claim outlives every attempt that was told of it
    Given a claim store and the claiming nodes a and b
    And claims are kept 0 seconds beyond the clocks' difference
    When node a posts posting-1 until 60 and the store answers
    And node b posts posting-1 until 120 and the store answers
    Then node b was told held without outcome
    When 70 seconds pass and the store answers
    And node a posts another of its bucket and the store answers
    And node b posts posting-1 until 120 and the store answers
    Then node b was told held twice

  Scenario: A request id used again later meets the claim that is retained
    Given a claim store and the claiming nodes a and b
    When node a posts posting-1 until 60 and the store answers
    And node a finishes posting-1 as answered and the store answers
    And 600 seconds pass and the store answers
    And node a posts another of its bucket and the store answers
    And node b posts posting-1 until 660 and the store answers
    Then node b was told held without outcome

  Scenario: Claims are collected, so that a bucket doesn't grow for ever
    Given a claim store and the claiming nodes a and b
    When node a posts posting-1 until 60 and the store answers
    And 700 seconds pass and the store answers
    And node a posts another of its bucket and the store answers
    Then one claim stands in the bucket

  Scenario: Claims that arrive while a write is in the air go together
    Given a claim store and the claiming nodes a and b
    When node a claims posting-1 and the store holds writes
    And node a posts 5 others of its bucket and the store holds writes
    And the store answers
    Then node a was told 6 grants for 2 writes

  Scenario: A bucket that is full takes no claim
    Given a claim store and the claiming nodes a and b
    And a bucket of posting-1 that is almost full
    When node a posts posting-1 until 60 and the store answers
    And 2 seconds pass and the store answers
    Then node a was told refused

  Scenario: A bucket that is full of outcomes gives them up for a claim
    Given a claim store and the claiming nodes a and b
    And a bucket of posting-1 that is almost full of an outcome
    When node a claims posting-1 and the store answers
    And node a finishes posting-1 as answered and the store answers
    Then node a was told granted
    When node b claims posting-1 and the store answers
    Then node b was told held with outcome answered

  Scenario: An outcome that a bucket has no room for is given up
    Given a claim store and the claiming nodes a and b
    And a bucket of posting-1 with room for one claim only
    When node a claims posting-1 and the store answers
    And node a finishes posting-1 as answered and the store answers
    Then node a was told granted
    And node a has no claim under way
