Feature: The report command renders a run as an HTML page

  Scenario: A bench report becomes a page with its plots
    Given a bench report with a zone_cut event and a rule violation
    When the report command is run on the file
    Then the page names the event, the rule violation and the deduction
    And the page has an SVG with latency and shares of requests

  Scenario: A soak's record becomes a page
    Given the record of a soak run
    When the report command is run on the file
    Then the page has an SVG with latency and shares of requests

  Scenario: What is no report is said so
    Given a file that is not valid JSON
    When the report command is run on the file
    Then the command exits with code 1, names the file and writes no page
