Feature: Routed requests keep their promises over any history

  Scenario: What is not idempotent runs at most once, and "not run" is true
    Then over random histories no posting runs twice or is falsely "not run"

  Scenario: A request goes to no more replicas than its route allows
    Then over random histories no shard is tried more often than allowed

  Scenario: Repeats of all nodes together stay within the budget
    Then over random loads of 3 nodes repeats stay within share and slack

  Scenario: A node that starts again doesn't spend the slack again
    Then over random restarts repeats stay within share and slack

  Scenario: Replicas that drain or are gone get nothing new
    Then over random histories nothing is sent to a draining replica

  Scenario: Each answer is of one configuration's shards
    Then over random reshards each answer lists shards of one set only

  Scenario: The version in force never goes back
    Then over random reads of configurations the version only rises

  Scenario: Each request is answered once, and its work ends
    Then over random histories each request is answered once in its time
