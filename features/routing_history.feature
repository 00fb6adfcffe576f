Feature: Invariants of routed requests hold over random histories

  Scenario: What is not idempotent runs at most once, and "not run" is true
    Then over random histories no non-idempotent request runs twice or is wrongly "not run"

  Scenario: A request goes to no more replicas than its route allows
    Then over random histories no shard gets more attempts than allowed

  Scenario: Repeats of all nodes together stay within the budget
    Then over random loads of 3 nodes retries stay within share and slack

  Scenario: A node that starts again doesn't spend the slack again
    Then over random restarts retries stay within share and slack

  Scenario: Seeds at which a restarted node spent the slack again
    Then over the restarts of seed 7022 and seeds 0 to 149 retries stay within share and slack

  Scenario: Replicas that drain or are gone get nothing new
    Then over random histories nothing is sent to a draining replica

  Scenario: Each answer is of one configuration's shards
    Then over random changes of shards each answer has shards of one set only

  Scenario: The version in force never goes back
    Then over random reads of configurations the version never decreases

  Scenario: Each request is answered once, and its work ends
    Then over random histories each request is answered once and its attempts end
