Feature: The operators' command
  Each subcommand prints a plain table or JSON; a mistake is one line and exit
  code 2, a failure one line and exit code 1.

  Background:
    Given a shared "herd" fleet of 3 hosts, 2 engines and 2 workers

  Scenario Outline: A mistake in "<arguments>" is one line
    When the operator runs "<arguments>"
    Then it ends with code <code> and one line that has "<line>"

    Examples:
      | arguments                              | code | line                                   |
      | bogus                                  | 2    | Unknown command "bogus"                |
      | check                                  | 2    | --file requires an argument            |
      | check /nonexistent                     | 2    | /nonexistent: No such file             |
      | check /tmp                             | 2    | /tmp: Is a directory                   |
      | check {file} --wrong                   | 2    | Unknown option: --wrong                |
      | check {file} more                      | 2    | Unused Tokens                          |
      | apply {file} --wait-s soon             | 2    | unable to convert "soon" into float    |
      | apply {file} --settings /nonexistent   | 2    | /nonexistent: No such file             |
      | status 127.0.0.1:1                     | 2    | allowed is an http URL                 |
      | status http://127.0.0.1:1              | 1    | link_lost (1901)                       |
      | status {entry}                         | 1    | wrong admin key                        |
      | drain {entry}                          | 1    | wrong admin key                        |
      | timeline /nonexistent                  | 1    | /nonexistent: No such file             |
      | completion tcsh                        | 2    | Invalid value                          |
      | settings --set entry.keepalive_s=x     | 2    | entry.keepalive_s is "x"               |
      | diff {file} --set platform.url=http://127.0.0.1:1 | 1 | platform_unreachable (1803)    |

  Scenario Outline: A malformed configuration is refused with one line
    Given a configuration file
      """
      <text>
      """
    When the operator runs "apply {made} --settings {settings}"
    Then it ends with code 2 and one line that has "<line>"
    And the platform's configuration hasn't changed

    Examples:
      | text                                          | line                                             |
      | {"models":                                    | not JSON                                         |
      | [1]                                           | the configuration is not an object               |
      | {"models": 7}                                 | config_invalid (1701): models                    |
      | {"models": [{"nam": "a"}]}                    | config_invalid (1701): models[0]                 |
      | {"models": [{"name": "a b"}]}                 | models 'a b': name: allowed are letters          |
      | {"models": [{"name": "a"}, {"name": "a"}]}    | models 'a': name: declared 2 times               |
      | {"workspaces": [{"name": "w", "models": ["x"]}]} | workspace 'w': models: 'x' is not declared    |
      | {"endpoints": [{"name": "e", "url": "ftp:x"}]} | endpoint 'e': url: allowed is an http           |

  Scenario: Every subcommand has a table for people and JSON for programs
    When the operator runs "check {file}"
    Then it printed the line "valid: 10 workspaces, 1 models, 4 endpoints, 1 services"
    When the operator runs "check {file} --json"
    Then the JSON has "valid" of true
    When the operator runs "diff {file} --settings {settings}"
    Then it printed the line "no differences"
    When the operator runs "diff {file} --settings {settings} --json"
    Then the JSON is []
    When the operator runs "status {entry} --settings {settings}"
    Then the table has the columns "host failure_domain region state revision address"
    And it lists "heredia-1", "cartago-1" and "alajuela-1"
    When the operator runs "drain {entry} --settings {settings}"
    Then it printed the line "heredia-1: draining"
    When the operator runs "drain {entry} --off --settings {settings} --json"
    Then the JSON has "draining" of false
    When the operator runs "completion bash"
    Then it printed the line "# Bash completion for baobabturn"
    When the operator runs "completion zsh --json"
    Then the JSON has "shell" of "zsh"

  Scenario: The status shows pools and endpoints with their owner
    When the operator runs "status {entry} --pools --settings {settings} --json"
    Then each engine is listed once, serving, with its owner

  Scenario: Applying waits until every failure domain has it and says so
    Given a configuration with priority 3 for "buyers"
    When the operator runs "apply {made} --wait --settings {settings} --json"
    Then the JSON names "alajuela", "cartago" and "heredia" as in force

  Scenario: What takes over two seconds says what it waits for
    Given the controller of "alajuela-1" is paused
    And a configuration with priority 4 for "buyers"
    When the operator runs "apply {made} --wait --wait-s 3 --settings {settings}"
    Then it ended with code 1
    And standard error said "alajuela not yet, cartago in force, heredia in force"
    And standard error said "is applied, but not in force within 3 s in alajuela"

  Scenario: An entry that doesn't answer doesn't hide that the change is applied
    Given a configuration with priority 5 for "buyers"
    When the operator runs "apply {made} --wait --wait-s 1 --entry http://127.0.0.1:1 --settings {settings}"
    Then it ends with code 1 and one line that has "is applied, but not in force within 1 s as far as http://127.0.0.1:1 says"

  Scenario: A time line leaves out an entry that doesn't answer, and says so
    When the operator runs "timeline --entry {entry} --entry http://127.0.0.1:1 --event process-ready --settings {settings}"
    Then it ends with code 0 and one line that has "left out: link_lost (1901): http://127.0.0.1:1"
    And the time line names "heredia-1/entry", "heredia-1/scheduler" and "heredia-1/controller"
    When the operator runs "timeline --entry http://127.0.0.1:1 --settings {settings}"
    Then it ends with code 1 and one line that has "link_lost (1901)"

  Scenario Outline: A malformed order to drain changes nothing
    When <body> is posted to drain the first entry
    Then the operators' answer is status 400 with code <code>
    And the host is not draining

    Examples:
      | body | code |
      | [1   | 1001 |
      | [1]  | 1001 |

  Scenario: Of two racing operators one gets a conflict that shows the other's change
    Given a configuration with weight 9 for "auditors"
    And the operator noted the published revision
    And another operator applied a configuration with priority 7 for "clerks"
    When the operator runs "apply {made} --base {base} --settings {settings}"
    Then it ends with code 1 and one line that has "config_conflict (1702)"
    And standard error said "came first"
    And standard error said "workspaces clerks"
    And standard error said "priority"
