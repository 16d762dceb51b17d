Feature: Settings

  Scenario: an accepted configuration never reverts
    Given three entries with the deadline "10s" in force
    When the deadline "11s" is committed and in force
    And the platform is away and an entry starts anew
    Then the deadline "11s" is in force at every entry

  Scenario: two operators collide
    Given three entries with the deadline "10s" in force
    When two operators change the deadline to "11s" and to "12s" from the same revision
    Then the second operator is told "[organisation portalia] deadline: 10s -> 11s"
    And the deadline "11s" is in force at every entry
