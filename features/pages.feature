Feature: Pages say what the code does

  Scenario Outline: <page> is printed from the code
    Then docs/<page> is what tools/<tool> prints

    Examples:
      | page        | tool             |
      | SETTINGS.md | settings_page.py |
      | METRICS.md  | metrics_page.py  |
      | CAPACITY.md | capacity_page.py |
