Feature: A limit holds across all entries, and its shares follow demand

  Scenario: Shares follow demand and add up to the limit
    Given 4 entries that share a limit of 8 concurrent requests
    When 20 requests arrive at entry 0
    Then 2 requests run
    When the shares are allocated
    And 20 requests arrive at entry 0
    Then 8 requests run
    When 20 requests arrive at entry 1
    Then 8 requests run

  Scenario: An entry that receives no shares falls back to an equal share
    Given 4 entries that share a limit of 8 concurrent requests
    When 1 requests arrive at entry 0
    And the shares are allocated
    And 10000 ms pass without shares
    And 20 requests arrive at entry 0
    Then 2 requests run
