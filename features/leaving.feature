Feature: A backend server that is leaving gets no new work

  Scenario Outline: A server is leaving by <source>
    Given a node that knows server "s" and peers "vm-2 vm-3"
    When server "s" is leaving by <source>
    Then server "s" gets no new work and its share is 0
    And the peers told that server "s" is leaving are "<told>"

    Examples:
      | source           | told      |
      | the list         | vm-2 vm-3 |
      | an operator      |           |
      | a reply          | vm-2 vm-3 |
      | a refusal        | vm-2 vm-3 |
      | its health       | vm-2 vm-3 |
      | a peer           | vm-2 vm-3 |
      | leaving the list |           |

  Scenario Outline: After <first>, <then> leaves the server <state>
    Given a node that knows server "s" and peers "vm-2 vm-3"
    When server "s" is leaving by <first>
    And server "s" is back by <then>
    Then server "s" is <state>

    Examples:
      | first            | then                   | state   |
      | the list         | the same start, listed | leaving |
      | the list         | a later start, listed  | working |
      | the list         | an older list          | leaving |
      | the list         | an operator            | working |
      | a reply          | the same start, listed | leaving |
      | a reply          | a later start, listed  | working |
      | a reply          | an operator            | working |
      | a peer           | a later start, listed  | working |
      | an operator      | an operator            | working |
      | an operator      | a later start, listed  | leaving |
      | leaving the list | the same start, listed | working |
      | leaving the list | an older list          | gone    |

  Scenario: A departure after the return counts again
    Given a node that knows server "s" and peers "vm-2 vm-3"
    When server "s" is leaving by a reply
    And server "s" is back by an operator
    And server "s" is leaving by a refusal
    Then server "s" is leaving

  Scenario: A reply of another attempt says nothing about its server
    Given a node that knows server "s" and peers "vm-2 vm-3"
    When a foreign reply says that server "s" is leaving
    Then server "s" is working

  Scenario: Nodes that hear the same evidence in any order agree
    Then in any order the same evidence of leaving has the same result
