Feature: Requests of a client account run within its quota over all nodes

  The processes under test are programs with the settings of 3 failure domains;
  the store and the replicas are fakes in the test process. The account may run
  A = 2 x 5 + 10 = 20 requests in 5 s. Of A / 2, each of 3 nodes runs 2 alone;
  each of 3 lenders grants 3.

  On a busy machine a lender may answer later than 30 ms; it then isn't asked
  for 0.5 s. The logs tell. Each such ask may cost one request at most of those
  that the lenders counted; the exact counts hold for runs without one.

  Scenario: Lenders and allowances add up over the real transport
    Given 3 programs in 3 failure domains with quotas, which are ready
    When 20 requests of the limited account come to one program
    Then 11 of its requests ran, and 9 were refused with 429
    When 25 more come to the two others
    Then 15 of its requests ran, and 30 were refused with 429
    And each refusal tells when to return, within 7.5 s
    And requests of an unlimited account still run
    And the metrics count the 6 grants of other programs, without a name of an account
    And no program logged or exported a key

  Scenario: A lender that stopped is asked in vain for 30 ms, once
    Given 3 programs in 3 failure domains with quotas, which are ready
    When one program is stopped and 20 requests come to another one
    Then between 5 and 8 of its requests ran, each within 0.5 s
