Feature: Servers and entry VMs leave without failing requests under way

  Scenario: A leaving server gets no new work in any domain within 5 s
    Given a small fleet of processes under load
    When server "press-desk-01-a" leaves, the VM list shows it 60 s late and its health report says that it stays
    Then after 5 s it gets no new leg for 3 s while others do
    When an operator marks server "press-desk-02-b" as leaving
    Then after 5 s it gets no new leg for 3 s while others do
    And every request of the load was answered completely

  Scenario: A VM that ends gracefully cuts off no request
    Given a small fleet of processes under load
    When every server takes 400 ms for a leg
    And entry VM "entry-4" gets SIGTERM twice
    Then it exits with code 0, no earlier than the balancer's lag after SIGTERM
    And requests to it before the end of the lag, and all to other VMs, were answered completely
    And later requests to it were answered, refused as not run or could not connect

  Scenario: All VMs are replaced one after another and keep the configuration
    Given a small fleet of processes under load
    When each entry VM is shut down gracefully and restarted in turn
    Then every entry VM has the same configuration in force as before
    And every request to the VMs that were not leaving was answered completely
    And no server ever exceeded its connection limit
