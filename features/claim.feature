Feature: A request that is not repeatable is claimed before it is sent

  A posting is a request whose field repeatable is false.

  Scenario: Only one of two attempts is granted the claim
    Given a store and the entry nodes a and b
    When node a claims posting-1 and the store answers
    And node b claims posting-1 and the store answers
    Then node a is granted the claim
    And node b is told that the claim is held, without an outcome

  Scenario: A later attempt is told the recorded outcome
    Given a store and the entry nodes a and b
    When node a claims posting-1 and the store answers
    And node a finishes posting-1 as answered and the store answers
    And node b claims posting-1 and the store answers
    Then node b is told that the claim is held, with outcome answered

  Scenario: A claim whose holder ran nothing is taken by the next attempt
    Given a store and the entry nodes a and b
    When node a claims posting-1 and the store answers
    And node a finishes posting-1 as not-run and the store answers
    And node b claims posting-1 and the store answers
    Then node b is granted the claim

  Scenario: A lost answer of the store is settled by reading back
    Given a store and the entry nodes a and b
    When node a claims posting-1 and the store's answer is lost
    And 0.1 seconds pass and the store answers
    Then node a is granted the claim

  Scenario: An answer lost while another attempt held the claim
    Given a store and the entry nodes a and b
    When node a claims posting-1 and the store answers
    And node b claims posting-1 and the store's answer is lost
    And 0.1 seconds pass and the store answers
    Then node b is told that the claim is held, without an outcome

  Scenario: A store that cannot be read refuses the claim for good
    Given a store and the entry nodes a and b
    When node a claims posting-1 and the store's answer is lost
    And 2 seconds pass and the store is down
    And 10 seconds pass and the store answers
    Then node a is refused the claim
    When node b claims posting-1 and the store answers
    Then node b is granted the claim

  Scenario: A write that arrives after the refusal holds nothing
    Given a store and the entry nodes a and b
    When node a claims posting-1 and the store delays the write
    And 2 seconds pass and the store is down
    And 10 seconds pass and the store answers
    Then node a is refused the claim
    When the delayed write reaches the store
    And node b claims posting-1 and the store answers
    Then node b is granted the claim

  Scenario: An answer of the store after the deadline grants nothing
    Given a store and the entry nodes a and b
    When node a claims posting-1 and the store queues writes
    And 2 seconds pass while node a is frozen
    And the store answers
    Then node a is refused the claim
    When node b claims posting-1 and the store answers
    Then node b is granted the claim

  Scenario: A store that takes nothing is not asked again after the refusal
    Given a store and the entry nodes a and b
    When node a claims posting-1 and the store is down
    And 2 seconds pass and the store is down
    Then node a is refused the claim
    And node a has no timer and no store call pending

  Scenario: A record waits a second at most while the store refuses calls
    Given a store and the entry nodes a and b
    When node a claims posting-1 and the store is down
    And 0.1 seconds pass and the store answers
    And node a finishes posting-1 as answered and the store answers
    And node b claims posting-1 and the store answers
    Then node b is told that the claim is held, without an outcome
    When 1 seconds pass and the store answers
    And node b claims posting-1 and the store answers
    Then node b is last told that the claim is held, with outcome answered

  Scenario: A node that closes admission records outcomes at once
    Given a store and the entry nodes a and b
    When node a claims posting-1 and the store is down
    And 0.1 seconds pass and the store answers
    And node a finishes posting-1 as answered and the store answers
    And node a closes admission and the store answers
    And node b claims posting-1 and the store answers
    Then node b is told that the claim is held, with outcome answered

  Scenario: A claim outlives every attempt that was told of it
    Given a store and the entry nodes a and b
    And claims are retained for 0 seconds beyond the clock skew
    When node a requests a claim of posting-1 until 60 s and the store answers
    And node b requests a claim of posting-1 until 120 s and the store answers
    Then node b is told that the claim is held, without an outcome
    When 70 seconds pass and the store answers
    And node a gets another request of the same bucket and the store answers
    And node b requests a claim of posting-1 until 120 s and the store answers
    Then node b is told twice that the claim is held

  Scenario: A request id used again later meets the claim that is retained
    Given a store and the entry nodes a and b
    When node a requests a claim of posting-1 until 60 s and the store answers
    And node a finishes posting-1 as answered and the store answers
    And 600 seconds pass and the store answers
    And node a gets another request of the same bucket and the store answers
    And node b requests a claim of posting-1 until 660 s and the store answers
    Then node b is told that the claim is held, without an outcome

  Scenario: Claims are collected, so that a bucket doesn't grow for ever
    Given a store and the entry nodes a and b
    When node a requests a claim of posting-1 until 60 s and the store answers
    And 700 seconds pass and the store answers
    And node a gets another request of the same bucket and the store answers
    Then the bucket holds one claim

  Scenario: Claims that arrive while a write is in the air go together
    Given a store and the entry nodes a and b
    When node a claims posting-1 and the store queues writes
    And node a gets 5 more requests of the same bucket and the store queues writes
    And the store answers
    Then node a is granted 6 claims by 2 writes

  Scenario: A bucket that is full takes no claim
    Given a store and the entry nodes a and b
    And an almost full bucket for posting-1
    When node a requests a claim of posting-1 until 60 s and the store answers
    And 2 seconds pass and the store answers
    Then node a is refused the claim

  Scenario: A bucket that is full of outcomes gives them up for a claim
    Given a store and the entry nodes a and b
    And a bucket for posting-1 that one outcome almost fills
    When node a claims posting-1 and the store answers
    And node a finishes posting-1 as answered and the store answers
    Then node a is granted the claim
    When node b claims posting-1 and the store answers
    Then node b is told that the claim is held, with outcome answered

  Scenario: An outcome that a bucket has no room for is given up
    Given a store and the entry nodes a and b
    And a bucket for posting-1 with room for one claim
    When node a claims posting-1 and the store answers
    And node a finishes posting-1 as answered and the store answers
    Then node a is granted the claim
    And node a has no timer and no store call pending

  Scenario: A store that answers reads and rejects writes is asked ever less
    Given a bucket's writer with a claim that is due for 10 s
    When the store answers reads and rejects writes for 10 s
    Then the store got at most 20 writes
