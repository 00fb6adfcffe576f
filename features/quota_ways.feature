Feature: The ways to keep an account's limit are compared on the same arrivals

  Scenario: The way chosen never runs above the limit, whatever happens
    Then nodes with lenders run at most the limit in each situation

  Scenario: A way that doesn't keep the limit is seen to exceed it
    Then shares that follow demand run above the limit after a restart
