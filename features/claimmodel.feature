Feature: Every state of a small model of claims
  Calls with one key create, take over, start, send, record and void a claim by
  conditional writes whose answers may be lost and which may take effect late.

  Scenario: No key is sent twice
    Given the claim model with 2 calls and 5 versions
    Then in no reachable state was the key sent twice

  Scenario: The check finds a takeover of a claim that may have been sent
    Given the claim model with 2 calls and 5 versions
    And takeovers don't spare claims that are being sent
    Then in some reachable state the key was sent twice

  Scenario: The check finds a holder that trusts a write whose answer was lost
    Given the claim model with 2 calls and 5 versions
    And a holder sends although its start's answer was lost
    Then in some reachable state the key was sent twice
