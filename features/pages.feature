Feature: Generated pages match the code

  Scenario Outline: <page> is printed from the code
    Then docs/<page> matches the output of tools/<tool>

    Examples:
      | page        | tool             |
      | SETTINGS.md | settings_page.py |
      | METRICS.md  | metrics_page.py  |
      | CAPACITY.md | capacity_page.py |
