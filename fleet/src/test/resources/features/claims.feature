Feature: Claims

  Scenario: a booking runs at most once when it is sent to two entries
    Given a booking with an idempotency key
    When it is sent to "oviedo-1" and to "gijon-1"
    Then it is dispatched once

  Scenario: a booking runs at most once when the answer of its claim is lost
    Given a booking with an idempotency key
    When the platform loses an answer
    And it is sent to "oviedo-1" and to "gijon-1"
    Then it is dispatched once

  Scenario: a booking does not run while the platform is away
    Given a booking with an idempotency key
    When the platform is away
    And it is sent to "oviedo-1" and to "gijon-1"
    Then it is dispatched never and every caller is told that it did not run
