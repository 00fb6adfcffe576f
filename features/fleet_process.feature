Feature: Processes leave without harm to requests under way

  Scenario: A leaving server gets no new work in any domain within 5 s
    Given a small fleet of processes under load
    When server "press-desk-01-a" leaves, the list lags by 60 s and its health denies it
    Then after 5 s it gets no new leg in 3 s while others do
    When an operator marks server "press-desk-02-b" as leaving
    Then after 5 s it gets no new leg in 3 s while others do
    And every request under load was answered whole

  Scenario: A VM that ends gracefully cuts off no request
    Given a small fleet of processes under load
    When every server takes 400 ms for a leg
    And entry VM "entry-4" is asked twice to end
    Then it ends with exit code 0 no earlier than the balancer's lag
    And its requests before the lag was over were answered whole
    And later ones were refused as not run or could not connect

  Scenario: All VMs are replaced one after another and keep the configuration
    Given a small fleet of processes under load
    When each entry VM is ended gracefully and started again in turn
    Then every entry VM has the configuration of before in force
    And every request to the VMs that were not leaving was answered whole
    And no server ever had more connections than its limit
