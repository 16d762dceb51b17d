Feature: Settings are inherited unless they are overridden

  Background:
    Given the settings
      """
      [tier urgent]
      rank = 0
      weight = 8
      first-token = 500ms
      [tier batch]
      rank = 1
      weight = 1
      [service chat]
      pool = models
      kind = model
      dispatch = dispatch-once
      [organisation group]
      tiers = urgent, batch
      deadline = 20s
      [organisation branch]
      parent = group
      """

  Scenario: An organisation inherits from its parent
    Then branch has deadline 20s for chat at urgent, set in "organisation group"

  Scenario: A tier sets a value for every organisation
    Then branch has first-token 500ms for chat at urgent, set in "tier urgent"
    And branch has first-token 530ms for chat at batch, set in "defaults"

  Scenario: An organisation overrides its parent for one service
    When "organisation branch service chat" sets deadline to 5s
    Then branch has deadline 5s for chat at urgent, set in "organisation branch service chat"
    And group has deadline 20s for chat at urgent, set in "organisation group"

  Scenario: The tier of a service is nearer than the service
    When "organisation branch service chat" sets deadline to 5s
    And "organisation branch service chat tier urgent" sets deadline to 4s
    Then branch has deadline 4s for chat at urgent, set in "organisation branch service chat tier urgent"
    And branch has deadline 5s for chat at batch, set in "organisation branch service chat"

  Scenario: A change of the parent applies below it
    When "organisation group" sets deadline to 30s
    Then branch has deadline 30s for chat at urgent, set in "organisation group"

  Scenario: A removed override gives way to the parent
    When "organisation branch" sets deadline to 5s
    And "organisation branch" removes deadline
    Then branch has deadline 20s for chat at urgent, set in "organisation group"

  Scenario: An organisation without a tier of its own takes its parent's
    Then branch may use "urgent, batch" for chat
    When "organisation branch service chat" sets tiers to batch
    Then branch may use "batch" for chat
