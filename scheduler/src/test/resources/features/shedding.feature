Feature: A higher tier is never shed before a lower one

  Scenario: A full queue sheds its lowest tier
    Given a pool of 1 endpoints with 1 slots and a queue of 2
    When request "running" of tier 0 arrives
    And request "report" of tier 3 arrives
    And request "chat" of tier 1 arrives
    And request "urgent" of tier 0 arrives
    Then request "report" is refused as SHED with a retry-after
    And requests "chat, urgent" wait

  Scenario: A new request of the lowest tier is shed
    Given a pool of 1 endpoints with 1 slots and a queue of 1
    When request "running" of tier 0 arrives
    And request "chat" of tier 0 arrives
    And request "report" of tier 3 arrives
    Then request "report" is refused as SHED with a retry-after
    And requests "chat" wait
