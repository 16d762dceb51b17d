Feature: Slow and failing endpoints have a limited effect

  Background:
    Given a pool of 4 endpoints with 4 slots and a queue of 100
    And 20 answers took 550 ms each

  Scenario: An idempotent request whose first token is overdue is sent to a second endpoint
    When a IDEMPOTENT request "read" arrives
    And 400 ms pass
    Then request "read" has 2 grants
    And its last grant is a HEDGE on another endpoint

  Scenario Outline: A request that must not run twice is not hedged
    When a <rule> request "booking" arrives
    And 400 ms pass
    Then request "booking" has 1 grants

    Examples:
      | rule          |
      | RUN_ONCE      |
      | DISPATCH_ONCE |

  Scenario: Only a minority of the endpoints is ejected, however many fail
    When 40 attempts fail
    Then 1 endpoints are ejected
