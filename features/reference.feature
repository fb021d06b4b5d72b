Feature: The reference pages agree with the code

  Scenario Outline: The page <page> is what the code says
    Then the page "reference/<page>" was written from the code

    Examples:
      | page        |
      | errors.md   |
      | settings.md |
      | events.md   |
      | metrics.md  |
      | protocol.md |
      | cli.md      |

  Scenario: The pages leave nothing out and add nothing
    Then the page "reference/errors.md" holds the table of result codes
    And the page "reference/events.md" explains each event once
    And the page "reference/settings.md" explains each setting with its default and range
    And the page "reference/metrics.md" explains each metric that the code records
    And the page "reference/protocol.md" lists each message of the schema
    And the page "reference/cli.md" describes each subcommand
