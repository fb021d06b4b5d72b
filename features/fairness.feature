Feature: Fair shares and limits
  Workspaces share a crowded pool by weight, and are refused only for a declared
  limit that is really exceeded.

  Scenario: Shares follow the weights
    Given workspaces "a" of weight 3 and "b" of weight 1 that always wait
    When 400 places of 10 tokens each are given in fair order
    Then "a" has between 290 and 310 of them

  Scenario: An idle workspace saves up no turns
    Given workspaces "a" of weight 1 and "b" of weight 1 that always wait
    When only "a" waits while 100 places of 10 tokens are given
    And 20 places of 10 tokens each are given in fair order
    Then "b" has between 9 and 11 of them

  Scenario: A limit on requests refuses only what exceeds it
    Given the limits of a workspace with 2 concurrent requests
    When 2 of its requests are in progress
    Then the next one is refused with "REQUEST_LIMIT"
    When 1 of its requests ends after 50 tokens
    Then the next one is let in

  Scenario: A limit on tokens refuses until the minute has passed
    Given the limits of a workspace with 100 tokens a minute
    When 1 of its requests are in progress
    Then the next one is let in
    When 1 of its requests ends after 150 tokens
    Then the next one is refused with "TOKEN_LIMIT" and when to come back
    And after a minute the next one is let in

  Scenario: No limit, no refusal
    Given the limits of a workspace with 0 concurrent requests
    When 1000 of its requests are in progress
    Then the next one is let in

  Scenario: A second attempt made by the system isn't held against a workspace
    Given the limits of a workspace with 2 concurrent requests
    When 1 of its requests are in progress
    And 3 second attempts are in progress
    Then the next one is let in
