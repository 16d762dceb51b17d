Feature: Requests prefer endpoints that cache their prompt prefix, unless the wait costs more than it saves

  Background:
    Given a pool of 3 endpoints with 2 slots and a queue of 100
    And answers whose first token took 20 ms and 0.1 ms for each prompt token

  Scenario: The same prefix goes to the same endpoint
    When request "first" with prefix 5 arrives
    And request "other" with prefix 6 arrives
    And request "first" finishes
    And request "other" finishes
    And request "second" with prefix 6 arrives
    And request "third" with prefix 5 arrives
    Then requests "other" and "second" have the same endpoint
    And requests "first" and "third" have the same endpoint

  Scenario: A request does not wait for a full endpoint
    When request "first" with prefix 5 arrives
    And request "second" with prefix 5 arrives
    And request "third" with prefix 5 arrives
    Then request "third" has 1 grants
