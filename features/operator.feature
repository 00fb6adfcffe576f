Feature: Operators are told the truth about every change

  Scenario: Commands show and change what is in force
    Given a cluster for an operator
    When the operator runs profile set batch --coverage-floor 0.9 --rank 2
    Then the command exits with 0
    When the operator runs profile set batch --delay-ms 400
    Then the command exits with 0
    When the operator runs profile show batch --json
    Then the command exits with 0
    And the profile shown has floor 0.9, delay 400 ms and rank 2
    When the operator runs profile delete batch
    Then the command exits with 0
    When the operator runs profile show batch
    Then the command exits with 1 and says There is no profile batch.
    When the operator runs profile set batch --extra-load 7
    Then the command exits with 1 and says Nothing was changed.
    When the operator runs vm leave press-desk-01-a
    Then the command exits with 0
    When the operator runs vm list
    Then the command exits with 0 and says leaving
    When the operator runs vm return press-desk-01-a
    Then the command exits with 0
    When the operator runs status --json
    Then the command exits with 0
    When the operator runs profile
    Then the command exits with 2

  Scenario: A change whose answer was lost is settled by reading back
    Given a cluster for an operator
    When the store loses the answer to the operator's next write
    And the operator runs profile set batch
    Then the command exits with 0

  Scenario: A store that can't be reached changes nothing
    Given a cluster for an operator
    When the operator's store goes out of service
    And the operator runs profile set batch
    Then the command exits with 3 and says Nothing was changed.
    When the operator runs profile list
    Then the command exits with 3 and says can't be reached

  Scenario: A change that may have been made is called unknown
    Given a cluster for an operator
    When the store goes out of service between an operator's write and its answer
    Then the command exits with 5 and says unknown whether the change was made

  Scenario: A domain that can't be asked is named, never assumed
    Given a cluster for an operator
    When entry-2 is killed behind the operator's back
    And the operator runs profile set batch --wait 3
    Then the command exits with 6 and says not confirmed
    And the output names entry-2
    When the operator runs status
    Then the command exits with 3 and says Not reached: entry-2.

  Scenario: Of two operators at once nobody's change is lost unseen
    Given a cluster for an operator
    When two operators who have read the same set the same profile
    Then one made it and the other was shown the change that came first

  Scenario: An operator is shown the change that came since the store was read
    Given a cluster for an operator
    When an operator has read, and another sets the same profile meanwhile
    Then one made it and the other was shown the change that came first

  Scenario: Settings with faults exit with a line for each
    When an operator checks settings with two faults
    Then the command exits with 2 and says node.listen
    And the errors are two lines
