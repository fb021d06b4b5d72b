Feature: Settings and their mistakes
  Settings come from packaged defaults, a file, and flags, in that order.  A
  mistake is one line that names the field, and exit code 2.

  Scenario: The effective settings say where each came from
    Given a settings file
      """
      // an operator's file
      {"host": {"name": "heredia-4"}, "entry": {"keepalive_s": 30}}
      """
    When "settings --set entry.keepalive_s=45 --json" runs with it
    Then the setting "host.name" is "heredia-4" from the file
    And the setting "entry.keepalive_s" is 45 from "flags"
    And the setting "ports.entry" is 8080 from "defaults"
    And the setting "entry.admin_key" is "(hidden)" from "defaults"

  Scenario Outline: A wrong file ends <program> with one line
    Given a settings file
      """
      <text>
      """
    When the program "<program>" starts with it
    Then it ends with code 2 and one line that has "<line>"

    Examples:
      | program    | text                                | line                                                                     |
      | entry      | {"entry": {"keepalive": 3}}         | unknown field entry.keepalive; did you mean entry.keepalive_s            |
      | scheduler  | {"nosuch": {}}                      | unknown field nosuch                                                     |
      | controller | {"ports": {"entry": "80"}}          | ports.entry is "80"; allowed: a whole number from 0 to 65,535            |
      | entry      | {"entry": {"retry_share": 1.5}}     | entry.retry_share is 1.5; allowed: a number from 0 to 1                  |
      | entry      | {"entry": {"retry_share": Infinity}} | entry.retry_share is Infinity; allowed: a number from 0 to 1            |
      | entry      | {"entry": {"retry_share": NaN}}     | entry.retry_share is NaN; allowed: a number from 0 to 1                  |
      | scheduler  | {"scheduler": {"policy": "best"}}   | allowed: one of baobabturn,                                              |
      | controller | {"membership": {"seeds": "x"}}      | membership.seeds is "x"; allowed: a list of texts                        |
      | controller | {"membership": {"seeds": ["x:y"]}}  | membership.seeds is ["x:y"]; allowed: a list of address:port             |
      | entry      | {"entry": {"resume_keys": []}}      | entry.resume_keys is []; allowed: a list of at least 1 texts             |
      | entry      | {"host": []}                        | host is []; allowed: an object                                           |
      | entry      | []                                  | settings is []; allowed: an object                                       |
      | entry      | {"host":                            | not JSON                                                                 |
      | entry      | {"ports": {"entry": true}}          | ports.entry is true; allowed: a whole number                             |

  Scenario Outline: A wrong flag of <program> is one line
    When the program "<program>" starts with "<flags>"
    Then it ends with code 2 and one line that has "<line>"

    Examples:
      | program    | flags                       | line                                          |
      | entry      | --settings /nonexistent     | /nonexistent: No such file or directory       |
      | entry      | --settings /tmp             | /tmp: Is a directory                          |
      | entry      | --set entry.keepalive_s     | allowed: section.field=value                  |
      | scheduler  | --set inner.call_timeout_s=0 | inner.call_timeout_s is 0; allowed: a number from 0.05 to 60 |
      | controller | --set host=3                | host is 3; allowed: an object                 |
      | controller | --set host.name.x=3         | host.name is {"x": 3}; allowed: a text        |
      | scheduler  | --nosuch                    | Unknown option: --nosuch                      |

  Scenario Outline: An address in use ends <program> with one line
    Given another process listens on an address
    When the program "<program>" starts on that address
    Then it ends with code 2 and one line that has "Address already in use"

    Examples:
      | program    |
      | entry      |
      | scheduler  |
      | controller |

  Scenario: A heartbeat address in use ends the controller with one line
    Given another process receives datagrams on an address
    When the program "controller" starts on that address
    Then it ends with code 2 and one line that has "udp: Address already in use"
