Feature: Content that crashes endpoints is quarantined

  Background:
    Given a pool of 1 endpoints with 4 slots and a queue of 100

  Scenario: The second crash quarantines the content, but not content that ran beside it once
    When request "harmful" with content 7 arrives
    And request "harmless" with content 8 arrives
    And request "harmful" crashes its endpoint
    And request "harmless" crashes its endpoint
    And 3000 ms pass
    And request "harmful again" with content 7 arrives
    And request "harmless again" with content 8 arrives
    Then requests "harmless again" wait
    When request "harmful again" crashes its endpoint
    And 3000 ms pass
    And request "harmful third" with content 7 arrives
    Then request "harmful third" is refused as QUARANTINED with a retry-after
    And request "harmless again" has 1 grants
