Feature: Requests are transferred to another region only when their contract covers it

  Scenario: The contract decides
    Given a link of 1000000 bytes per second
    Then an uncovered transfer of 1000 bytes of tier 0 is refused
    And a covered transfer of 1000 bytes of tier 0 is admitted

  Scenario: Lower tiers are refused first
    Given a link of 1000000 bytes per second
    When 700000 bytes of tier 0 are transferred
    Then a covered transfer of 1000 bytes of tier 3 is refused
    And a covered transfer of 1000 bytes of tier 0 is admitted
