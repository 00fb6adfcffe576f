Feature: The connections to a server never add up to more than its limit

  Scenario: Over random histories the sum stays within the limit
    Then over 400 random histories of 4 configured VMs no server's limit is exceeded
    And over 400 random histories of 2 configured VMs no server's limit is exceeded

  Scenario: A fleet whose VMs all start at once waits for former connections
    Given a fleet of VMs "a b c d" in virtual time
    Then the shares of the fleet become "a=6 b=6 c=6 d=6" after 15 to 18 s

  Scenario: A VM that starts again among others gets its share at once
    Given a fleet of VMs "a b c d" in virtual time
    When 18 s pass in the fleet
    And the process of VM "a" is killed and started again
    Then the shares of the fleet become "a=6 b=6 c=6 d=6" after 0 to 2 s

  Scenario: A VM that is listed but silent does not stop the others
    Given a fleet of VMs "a b c" in virtual time, of which "d" is silent
    When 14 s pass in the fleet
    Then the shares of the fleet are "a=0 b=0 c=0"
    When 4 s pass in the fleet
    Then the shares of the fleet are "a=6 b=6 c=6"
    When the process of VM "a" is killed and started again
    And 2 s pass in the fleet
    Then the shares of the fleet are "a=6 b=6 c=6"

  Scenario: A joiner waits for a frozen node, and gets its share once it gives way
    Given a fleet of VMs "a b c d" in virtual time
    When 18 s pass in the fleet
    And VM "d" is frozen
    And VM "e" is started with settings that name "a b c d"
    And 60 s pass in the fleet
    Then the shares of the fleet are "a=5 b=5 c=5 d=6 e=0"
    When VM "d" thaws
    And 3 s pass in the fleet
    Then the shares of the fleet are "a=5 b=5 c=5 d=5 e=5"

  Scenario: The share of a lost VM is used again once its connections ended
    Given a fleet of VMs "a b c d" in virtual time
    When 18 s pass in the fleet
    And VM "e" is started with settings that name "a b c e"
    Then the shares of the fleet become "a=5 b=5 c=5 d=5 e=5" after 0 to 4 s
    When VM "d" is lost
    Then the shares of the fleet become "a=6 b=6 c=6 e=6" after 15 to 18 s

  Scenario: The share of a VM that ends gracefully is used again at once
    Given a fleet of VMs "a b c d" in virtual time
    When 18 s pass in the fleet
    And VM "e" is started with settings that name "a b c e"
    And 4 s pass in the fleet
    And VM "d" closes its connections and ends
    Then the shares of the fleet become "a=6 b=6 c=6 e=6" after 0 to 2 s

  Scenario: Every VM is replaced at once by another
    Given a fleet of VMs "a b c d" in virtual time
    When 18 s pass in the fleet
    And VMs "a b c d" are lost and "e f g h" are started
    Then the shares of the fleet become "e=6 f=6 g=6 h=6" after 15 to 18 s

  Scenario: A joiner waits until connections in use beyond the shares are closed
    Given a fleet of VMs "a b c d" in virtual time
    When 18 s pass in the fleet
    And all connections of the fleet stay in use
    And VM "e" is started with settings that name "a b c d"
    And 30 s pass in the fleet
    Then the shares of the fleet are "a=5 b=5 c=5 d=5 e=0"
    When the links of the fleet are restored and its connections become idle
    Then the shares of the fleet become "a=5 b=5 c=5 d=5 e=5" after 0 to 4 s

  Scenario: Two VMs can't both take a place on two sides of a cut
    Given a fleet of VMs "a b c d" in virtual time
    When 18 s pass in the fleet
    And VM "d" closes its connections and ends
    And 10 s pass in the fleet
    And the platform's list lags by 12 s for VM "d"
    And VMs "b c" are cut off from "a e list" and "a e" from "b c d"
    And VM "d" is cut off from "a e"
    And VM "e" is started with settings that name "a b c e"
    And 2 s pass in the fleet
    And VM "d" is started with settings that name "a b c d"
    And 4 s pass in the fleet
    Then the shares of the fleet are "a=5 b=6 c=6 d=6 e=0"
    When the links of the fleet are restored and its connections become idle
    Then the shares of the fleet become "a=5 b=5 c=5 d=5 e=5" after 0 to 4 s

  Scenario: A VM that starts again waits for all once its place is taken
    Given a fleet of VMs "a b c d" in virtual time
    When 18 s pass in the fleet
    And VM "d" closes its connections and ends
    And 2 s pass in the fleet
    And VM "e" is started with settings that name "a b c e"
    And 4 s pass in the fleet
    Then the shares of the fleet are "a=6 b=6 c=6 e=6"
    When VMs "b c e" are cut off from "d list" and "d" from "b c e"
    And VM "d" is started with settings that name "a b c d"
    And 30 s pass in the fleet
    Then the shares of the fleet are "a=5 b=5 c=5 d=0 e=5"
