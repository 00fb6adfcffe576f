Feature: The promises hold while processes, store and servers fail at random

  Scenario Outline: A short soak, seed <seed>
    Then a soak of <seconds> s with seed <seed> keeps every promise

    Examples:
      | seed | seconds |
      | 1    | 10      |
