Feature: Coverage is computed from ranges

  Scenario: Overlapping ranges never count twice
    Given the covered ranges 0-2147483648 and 1073741824-3221225472
    When the coverage is measured
    Then the coverage fraction is 0.75
    And the missing ranges are 3221225472-4294967296

  Scenario: Holes and covered ranges always make up the whole space
    Then for any ranges the gaps and the covered keys make up the key space
