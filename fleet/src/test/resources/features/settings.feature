Feature: Settings

  Scenario: committed settings never revert
    Given three entries with the deadline "10s" in force
    When the deadline "11s" is committed and in force
    And the platform is unavailable and an entry restarts without settings
    Then the deadline "11s" is in force at every entry

  Scenario: two operators change the settings concurrently
    Given three entries with the deadline "10s" in force
    When two operators change the deadline to "11s" and to "12s" from the same revision
    Then the second operator is told "[organisation portalia] deadline: 10s -> 11s"
    And the deadline "11s" is in force at every entry
