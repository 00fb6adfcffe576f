Feature: Full garbage collections stay short

  Scenario: A node that was started is frozen once, after its state is built
    Given a heap freezer
    When it is scheduled 3 times
    Then the heap was frozen 0 times
    When 2 s pass for the freezer
    Then the heap was frozen 1 times

  Scenario: A later configuration is exempt from collection as well
    Given a heap freezer
    When it is scheduled 1 times
    And 2 s pass for the freezer
    And it is scheduled 1 times
    And 2 s pass for the freezer
    Then the heap was frozen 2 times

  Scenario: A node that stops leaves no timer behind
    Given a heap freezer
    When it is scheduled 1 times
    And the freezer is stopped
    And 2 s pass for the freezer
    Then the heap was frozen 0 times

  Scenario: A full collection does not visit what a program keeps
    Then a collection after a freeze visits under a tenth of the objects
