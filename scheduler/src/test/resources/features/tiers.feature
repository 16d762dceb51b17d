Feature: A free slot is granted to the highest waiting tier

  Scenario: The highest tier is dispatched first, regardless of arrival order
    Given a pool of 1 endpoints with 1 slots and a queue of 10
    When request "running" of tier 3 arrives
    And request "report" of tier 3 arrives
    And request "chat" of tier 0 arrives
    And request "running" finishes
    And request "chat" finishes
    Then requests are granted in the order "running, chat, report"
