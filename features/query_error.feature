Feature: Every error kind is given where it is true, and only there

  Scenario: No error kind lacks a scenario
    Then every kind of the error table has a row below

  Scenario Outline: A request ends as <kind>
    When a request is driven into <kind>
    Then its one answer is <kind>, as the error table says
    And no leg of it has run if its answer says so

    Examples:
      | kind                 |
      | malformed            |
      | body-too-large       |
      | unknown-index        |
      | unknown-profile      |
      | missing-request-id   |
      | missing-expiry       |
      | expired              |
      | expiry-too-far       |
      | request-id-in-use    |
      | ambiguous-target     |
      | overloaded           |
      | shutting-down        |
      | no-configuration     |
      | no-server            |
      | refused-by-servers   |
      | store-unavailable    |
      | delay-passed-unsent  |
      | below-floor          |
      | snapshot-lost        |
      | outcome-lost         |
      | claimed-elsewhere    |
