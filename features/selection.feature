Feature: The replica that is worth most is chosen

  Scenario Outline: A request crosses failure domains for what is worth it
    Given a near and a far replica of a <kind> with an objective of 100 ms
    When the near one answers <slower> ms later than the far one
    Then the <chosen> one is chosen

    Examples:
      | kind          | slower | chosen |
      | shard         | 20     | near   |
      | shard         | 80     | far    |
      | whole request | 2      | near   |
      | whole request | 20     | far    |
