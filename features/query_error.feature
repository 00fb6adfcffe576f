Feature: Each error kind is returned only where it applies

  Scenario: No error kind lacks a scenario
    Then every kind of the error table has an example in this feature

  Scenario Outline: A request ends as <kind>
    When a request is sent that has to end as <kind>
    Then its only answer is <kind>, with the values of the error table
    And no leg of it has run if the answer says that nothing ran

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
