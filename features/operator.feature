Feature: bluebellctl reports the actual outcome of every change

  Scenario: Commands show and change what is in force
    Given a running cluster and an operator
    When the operator runs bluebellctl profile set batch --coverage-floor 0.9 --rank 2
    Then the command exits with 0
    When the operator runs bluebellctl profile set batch --delay-ms 400
    Then the command exits with 0
    When the operator runs bluebellctl profile show batch --json
    Then the command exits with 0
    And the JSON profile has coverage floor 0.9, delay 400 ms and rank 2
    When the operator runs bluebellctl profile delete batch
    Then the command exits with 0
    When the operator runs bluebellctl profile show batch
    Then the command exits with 1 and prints There is no profile batch.
    When the operator runs bluebellctl profile set batch --extra-load 7
    Then the command exits with 1 and prints Nothing was changed.
    When the operator runs bluebellctl vm leave press-desk-01-a
    Then the command exits with 0
    When the operator runs bluebellctl vm list
    Then the command exits with 0 and prints leaving
    When the operator runs bluebellctl vm return press-desk-01-a
    Then the command exits with 0
    When the operator runs bluebellctl status --json
    Then the command exits with 0
    When the operator runs bluebellctl profile
    Then the command exits with 2

  Scenario: A change whose answer was lost is settled by reading back
    Given a running cluster and an operator
    When the store applies the operator's next write but sends no response
    And the operator runs bluebellctl profile set batch
    Then the command exits with 0

  Scenario: A store that can't be reached changes nothing
    Given a running cluster and an operator
    When the store responds with an error to every call
    And the operator runs bluebellctl profile set batch
    Then the command exits with 3 and prints Nothing was changed.
    When the operator runs bluebellctl profile list
    Then the command exits with 3 and prints can't be reached
    When the operator runs bluebellctl vm list
    Then the command exits with 3 and prints can't be reached
    And standard output contains press-desk-01-a

  Scenario: A change that may have been made is called unknown
    Given a running cluster and an operator
    When the store applies an operator's write, sends no response and then responds with an error to every call
    Then the command exits with 5 and prints unknown whether the change was made

  Scenario: A domain that can't be asked is named, never assumed
    Given a running cluster and an operator
    When the process of entry VM entry-2 is killed
    And the operator runs bluebellctl profile set batch --wait 3
    Then the command exits with 6 and prints not confirmed
    And standard output contains entry-2
    When the operator runs bluebellctl status
    Then the command exits with 3 and prints Entry VMs not reached: entry-2.
    When the operator runs bluebellctl vm list
    Then the command exits with 3 and prints Entry VMs not reached: entry-2.

  Scenario: Of two operators at once nobody's change is lost unseen
    Given a running cluster and an operator
    When two operators read the same revision and then set the same profile
    Then one command exits with 0 and the other with 4, printing the stored change

  Scenario: An operator is shown the change that came since the store was read
    Given a running cluster and an operator
    When another operator sets the same profile between an operator's read and write
    Then one command exits with 0 and the other with 4, printing the stored change

  Scenario: Settings with faults exit with a line for each
    When an operator checks a settings file with two errors
    Then the command exits with 2 and prints node.listen
    And standard error has two lines
