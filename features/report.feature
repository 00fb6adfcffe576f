Feature: A run can be looked at as a page

  Scenario: A bench report becomes a page with its plots
    Given a bench report with a zone cut and a broken rule
    When it is turned into a page
    Then the page names the fault, the broken rule and the prices
    And the page draws latency, outcomes and troubles

  Scenario: A soak's record becomes a page
    Given a soak's record
    When it is turned into a page
    Then the page draws latency, outcomes and troubles

  Scenario: What is no report is said so
    Given a file that is no report
    When it is turned into a page
    Then the command exits with 1 and names the file
