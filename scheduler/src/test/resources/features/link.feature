Feature: Work crosses to another region only when its contract pays for it

  Scenario: The contract decides
    Given a link of 1000000 bytes a second
    Then 1000 bytes of tier 0 may not cross unpaid
    And 1000 bytes of tier 0 may cross paid

  Scenario: Lower tiers stop crossing first
    Given a link of 1000000 bytes a second
    When 700000 bytes of tier 0 cross
    Then 1000 bytes of tier 3 may not cross paid
    And 1000 bytes of tier 0 may cross paid
