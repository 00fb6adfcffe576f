Feature: Requests go to the replica with the lowest estimated cost

  Scenario Outline: A request crosses failure domains for what is worth it
    Given a local and a remote replica of a <kind> with an objective of 100 ms
    When the local replica is <slower> ms slower than the remote one
    Then the <chosen> replica is chosen

    Examples:
      | kind          | slower | chosen |
      | shard         | 20     | local  |
      | shard         | 80     | remote |
      | whole request | 2      | local  |
      | whole request | 20     | remote |
