Feature: Guarantees hold while processes, store and servers fail at random

  Scenario Outline: A short soak, seed <seed>
    Then a soak test of <seconds> s with seed <seed> violates no guarantee

    Examples:
      | seed | seconds |
      | 1    | 10      |
      | 2    | 10      |
