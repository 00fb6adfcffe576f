Feature: A backend server that is leaving gets no new work

  Scenario Outline: A server is leaving by <source>
    Given a node that knows server "s" and peers "vm-2 vm-3"
    When server "s" is leaving by <source>
    Then server "s" gets no new legs and its connection share is 0
    And the peers notified that server "s" is leaving are "<notified>"

    Examples:
      | source                   | notified  |
      | the VM list              | vm-2 vm-3 |
      | an operator's mark       |           |
      | a reply                  | vm-2 vm-3 |
      | a refusal                | vm-2 vm-3 |
      | a health report          | vm-2 vm-3 |
      | a peer's notice          | vm-2 vm-3 |
      | removal from the VM list |           |

  Scenario Outline: After <first>, <then> leaves the server <state>
    Given a node that knows server "s" and peers "vm-2 vm-3"
    When server "s" is leaving by <first>
    And server "s" returns by <then>
    Then server "s" is <state>

    Examples:
      | first                    | then                            | state      |
      | the VM list              | listing of the same incarnation | leaving    |
      | the VM list              | listing of a later incarnation  | in service |
      | the VM list              | an older VM list                | leaving    |
      | the VM list              | an operator's mark              | in service |
      | a reply                  | listing of the same incarnation | leaving    |
      | a reply                  | listing of a later incarnation  | in service |
      | a reply                  | an operator's mark              | in service |
      | a peer's notice          | listing of a later incarnation  | in service |
      | an operator's mark       | an operator's mark              | in service |
      | an operator's mark       | listing of a later incarnation  | leaving    |
      | removal from the VM list | listing of the same incarnation | in service |
      | removal from the VM list | an older VM list                | removed    |

  Scenario Outline: A server missing from the VM list is <state> after <event>
    Given a node that knows server "s" and peers "vm-2 vm-3"
    And server "s" has a leg in progress
    When server "s" is leaving by removal from the VM list
    Then server "s" gets no new legs and its connection share is 0
    When <event> follows
    Then server "s" is <state>

    Examples:
      | event                           | state      |
      | a change of a profile           | leaving    |
      | an operator's mark              | leaving    |
      | listing of the same incarnation | in service |

  Scenario: A server that was removed and listed again is polled at one rate
    Given a node that knows server "s" and peers "vm-2 vm-3"
    When server "s" is leaving by removal from the VM list
    And server "s" returns by listing of the same incarnation
    Then server "s" is polled about once a period

  Scenario: A departure after the return counts again
    Given a node that knows server "s" and peers "vm-2 vm-3"
    When server "s" is leaving by a reply
    And server "s" returns by an operator's mark
    And server "s" is leaving by a refusal
    Then server "s" is leaving

  Scenario: A reply of another attempt says nothing about its server
    Given a node that knows server "s" and peers "vm-2 vm-3"
    When a reply to another attempt says that server "s" is leaving
    Then server "s" is in service

  Scenario: Nodes that hear the same evidence in any order agree
    Then the same evidence of leaving in any order has the same result
