Feature: Workspace keys
  Only a workspace's own callers act for it, and none sees anything of another.

  Background:
    Given a shared "herd" fleet for keys

  Scenario Outline: Requests without the right key
    When a generation is asked for with <credentials>
    Then the refusal has code <code>, status 401 and run "not-run"

    Examples:
      | credentials               | code |
      | no header                 | 1101 |
      | a key of nobody           | 1102 |
      | an empty key              | 1101 |
      | the hash of a true key    | 1102 |
      | another scheme            | 1101 |
      | the operators' key        | 1102 |
      | a key of 20000 bytes      | 1102 |

  Scenario: A key is rotated without a gap
    When "buyers" calls all the time while its key is rotated with both declared
    Then none of its calls was refused
    And the old key is refused at every entry once it is taken out

  Scenario: What a workspace may not use looks as if it didn't exist
    When "coop-1" may use no models and no services
    Then its calls get the same answers for what others have and for what nobody has
    And it lists no models

  Scenario: Two workspaces use one idempotency key
    When "clerks" and "auditors" post tally "shared" with the key "same"
    Then both are served as calls of their own

  Scenario: Another's resume token looks like no token at all
    When "buyers" has the token of a generation of "herders-north"
    Then it gets the same answer as for a forged token

  Scenario: A prompt's cached beginning serves only its own workspace
    When "herders-north" and then "herders-south" send one long prompt
    Then the engine's cache served the second of neither
    When "herders-south" sends it again
    Then the engine's cache served it

  Scenario: Operators' paths need the operators' key
    Then the operators' paths refuse workspace keys and no key

  Scenario: No answer of the feature named another workspace
    Then no answer to a caller named another workspace
