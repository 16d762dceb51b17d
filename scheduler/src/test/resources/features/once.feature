Feature: Requests that must not run twice are not granted twice

  Scenario Outline: What happens after a failed attempt
    Given a pool of 2 endpoints with 1 slots and a queue of 10
    When a <rule> request "booking" arrives
    And its endpoint reports it as <phase>
    And 1000 ms pass
    Then request "booking" has <grants> grants
    And it is refused as <refusal>

    Examples:
      | rule          | phase   | grants | refusal          |
      | DISPATCH_ONCE | REFUSED | 1      | ENDPOINT_REFUSED |
      | DISPATCH_ONCE | FAILED  | 1      | ENDPOINT_FAILED  |
      | RUN_ONCE      | FAILED  | 1      | ENDPOINT_FAILED  |
      | RUN_ONCE      | SILENT  | 1      | ENDPOINT_SILENT  |
      | RUN_ONCE      | REFUSED | 2      | nothing          |
      | IDEMPOTENT    | CRASHED | 2      | nothing          |
      | DISPATCH_ONCE | NOT_SENT | 2     | nothing          |
      | RUN_ONCE      | NOT_SENT | 2     | nothing          |

  Scenario: Every endpoint refused a request once
    Given a pool of 2 endpoints with 1 slots and a queue of 10
    When a RUN_ONCE request "booking" arrives
    And its endpoint reports it as REFUSED
    And 1000 ms pass
    And its endpoint reports it as REFUSED
    And 2000 ms pass
    Then request "booking" has 3 grants
