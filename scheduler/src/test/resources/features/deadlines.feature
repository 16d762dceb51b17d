Feature: Requests that cannot meet their deadline are refused early

  Background:
    Given a pool of 1 endpoints with 1 slots and a queue of 100
    And 20 answers took 550 ms each

  Scenario: An answer takes longer than the deadline even without a wait
    When request "hasty" of tier 0 with a deadline of 300 ms arrives
    Then request "hasty" is refused as DEADLINE_UNREACHABLE

  Scenario: The requests ahead take too long, and the refusal has a retry-after delay
    When request "running" of tier 0 arrives
    And 10 requests of tier 0 wait
    And request "hasty" of tier 0 with a deadline of 2000 ms arrives
    Then request "hasty" is refused as DEADLINE_UNREACHABLE with a retry-after

  Scenario: Requests of lower tiers do not count as ahead
    When request "running" of tier 0 arrives
    And 10 requests of tier 3 wait
    And request "chat" of tier 0 with a deadline of 2000 ms arrives
    Then request "chat" is not refused

  Scenario: A request that can no longer meet its deadline is not dispatched
    When request "running" of tier 0 arrives
    And 2 requests of tier 0 wait
    And request "chat" of tier 0 with a deadline of 2000 ms arrives
    And 1900 ms pass
    And request "running" finishes
    Then request "chat" has 0 grants
    And request "chat" is refused as DEADLINE_PASSED_IN_QUEUE with a retry-after
