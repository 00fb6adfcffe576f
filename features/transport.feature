Feature: The transports report each result exactly once and as it was observed

  Scenario: A reply, a refusal and a broken answer are told apart
    Given a backend link to a scripted server with a share of 2
    When leg "a" is sent and answered with status 200 and a reply
    Then leg "a" is reported as replied
    When leg "b" is sent and answered with status 409 and a refusal
    Then leg "b" is reported as refused
    When leg "c" is sent and answered with status 409 and an undecodable body
    Then leg "c" is reported as failed but possibly run
    When leg "d" is sent and answered with status 500 and a reply
    Then leg "d" is reported as failed but possibly run
    When leg "e" is sent and its response is truncated
    Then leg "e" is reported as failed but possibly run
    When leg "f" is sent and its connection is closed without a response
    Then leg "f" is reported as failed but possibly run
    And no other event was reported by the link

  Scenario: A leg that never had a connection did not run
    Given a backend link to a port without a listener
    When leg "a" is sent
    Then leg "a" is reported as failed and not run

  Scenario: Legs beyond the share wait in order and reuse connections
    Given a backend link to a scripted server with a share of 1
    When legs "a b c d e f" are sent and answered one by one
    Then the server saw legs "a b c d e f" on 1 connection
    When the share is set to 3
    And legs "g h i j k l" are sent and answered one by one
    Then the server saw no more than 3 connections

  Scenario: A smaller share closes connections that are no longer in use
    Given a backend link to a scripted server with a share of 3
    When legs "a b c" are sent and answered one by one
    And the share is set to 0
    Then the link eventually has 0 connections

  Scenario: A share of nothing ends what waits and lets what runs finish
    Given a backend link to a scripted server with a share of 1
    When leg "a" is sent and received by the server
    And leg "b" is sent
    And the share is set to 0 without waiting for running legs
    Then leg "b" is reported as failed and not run
    When leg "c" is sent
    Then leg "c" is reported as failed and not run
    When leg "a" is answered by the server
    Then leg "a" is reported as replied
    And the share of 0 is reported as in force
    And no other event was reported by the link

  Scenario: Connections are opened before they are needed
    Given a backend link to a scripted server with a share of 3
    When the share is set to 3 with 2 opened in advance
    Then the link eventually has 2 connections

  Scenario: A waiting leg that is cancelled ends without having run
    Given a backend link to a scripted server with a share of 1
    When leg "a" is sent and received by the server
    And leg "b" is sent
    And leg "b" is cancelled
    Then leg "b" is reported as failed and not run
    When leg "a" is answered by the server
    Then leg "a" is reported as replied
    And no other event was reported by the link

  Scenario: A running leg that is cancelled still reports its own end
    Given a backend link to a scripted server with a share of 2
    When leg "a" is sent and received by the server
    And leg "a" is cancelled
    Then the server is asked to cancel leg "a"
    When leg "a" is answered by the server
    Then leg "a" is reported as replied
    And no other event was reported by the link

  Scenario: Timeouts tell a waiting leg from a running one
    Given a backend link to a scripted server with a share of 1
    When leg "a" is sent with a timeout of 0.2 s and received by the server
    And leg "b" is sent with a timeout of 0.1 s
    Then leg "b" is reported as failed and not run
    And leg "a" is reported as failed but possibly run

  Scenario: A leg that expired while it waited is never written
    Given a backend link to a scripted server with a share of 1
    When leg "a" is sent and received by the server
    And leg "b", which expires at 1000, is sent
    And the wall clock of the link is set to 1000
    And leg "a" is answered by the server
    Then leg "a" is reported as replied
    And leg "b" is reported as expired and not run
    And the server has seen no further request

  Scenario: A health report is read, and a bad one is none
    Given a backend link to a scripted server with a share of 1
    When the server is polled and answers with a report
    Then the poll reports that the server is leaving
    When the server is polled and answers with an undecodable body
    Then the poll reports nothing

  Scenario: The store's answers and losses are told apart
    Given a store link to a scripted server
    When a key is read and answered with status 200
    Then the store link reports event KeyRead
    When a key is written and answered with status 200
    Then the store link reports event KeyWritten
    When a key is written and answered with status 409
    Then the store link reports event KeyConflict
    When a key is written and answered with status 429
    Then the store link reports a failure without effect
    When a key is written and answered with status 503
    Then the store link reports a failure that may have taken effect
    When a key is written and its connection is closed without a response
    Then the store link reports a failure that may have taken effect
    When a key is written to a port without a listener
    Then the store link reports a failure without effect

  Scenario: Bad peer messages are dropped and change nothing
    Given a peer link of node "vm-1" without sockets
    Then a digest from "vm-2" of incarnation 5 and sequence 2 is received
    And a digest from "vm-2" of incarnation 5 and sequence 2 is dropped as "replayed"
    And a digest from "vm-2" of incarnation 5 and sequence 1 is dropped as "replayed"
    And a digest from "vm-2" of incarnation 4 and sequence 9 is dropped as "replayed incarnation"
    And a digest from "vm-1" of incarnation 9 and sequence 9 is dropped as "forged sender"
    And a digest from "vm-2" of incarnation 9999999 and sequence 1 is dropped as "incarnation in the future"
    And a digest from "vm-2" of incarnation 6 and sequence 1 is received
    And every truncation of a digest from "vm-3" is dropped
    And a peer message of the wrong version is dropped
    And an oversized peer message is dropped
    And a digest from "vm-3" of incarnation 5 and sequence 2 is received

  Scenario: Peers exchange messages over their sockets
    Given two peer links with sockets
    When each sends the other 3 digests and one to a peer that does not listen
    Then each receives 3 digests in order
