Feature: Claims

  Scenario: a booking runs at most once when it is sent to two entries
    Given a booking with an idempotency key
    When it is sent to "oviedo-1" and to "gijon-1"
    Then it is dispatched once

  Scenario: a booking runs at most once when the response to its claim is lost
    Given a booking with an idempotency key
    When the platform loses a response
    And it is sent to "oviedo-1" and to "gijon-1"
    Then it is dispatched once

  Scenario: a booking does not run while the platform is unavailable
    Given a booking with an idempotency key
    When the platform is unavailable
    And it is sent to "oviedo-1" and to "gijon-1"
    Then it is not dispatched and every caller is told that it did not run
