Feature: A replica that starts or comes back gets work at the pace of its answers

  Nodes run the routing core on one clock with replicas that are slow until they
  have served some requests, queue, and refuse what they can't hold.

  Scenario Outline: Callers are late as a replica comes back: <case>
    Given the case "<case>"
    When 4 s pass with steady load
    Then at least <share> of the requests were answered in time
    And the replica that came back got at least <least> requests on average

    Examples:
      | case                 | share | least |
      | one of three back    | 0.98  | 60    |
      | the same, 4 nodes    | 0.98  | 15    |
      | a domain back        | 0.995 | 15    |
      | well, then collapsed | 0.97  | 60    |
      | slow for ever        | 0.95  | 20    |
      | 300 nodes start      | 0.97  | 50    |
      | all back at once     | 0.97  | 50    |

  Scenario: A replica that came back is kept out or left idle for long
    Given the case "one of three back"
    When 12 s pass with steady load
    Then the replica that came back gets 20 requests a second or more
    And no replica is paced any more

  Scenario: Replicas that a starting node finds, or that were idle, count as new
    Then no replica of the first listing without warm-up time left is paced
    And no replica that got no request for a minute is paced
    And no replica of a fleet that starts for the first time is paced
    And no replica of a domain is paced whose evacuation lasted 0.1 s

  Scenario: A replica that comes back gets all its work at once
    Then a replica is paced after a restart, an ejection and an evacuation

  Scenario: A cold replica is flooded as its limit ends
    Then a replica whose warm-up limit ends begins with the least share

  Scenario: The share is not within its bounds, or rises past bad answers
    Then over random answers the share keeps its bounds and falls with bad ones

  Scenario: A replica that others keep busy, or that says it is slow, is chosen
    Then a fresh load report moves requests away, and one of 3 s ago does not
