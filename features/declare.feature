Feature: The declaration library
  An operator's program prints the configuration: the same program prints the
  same bytes, and a mistake names the declaration and the field.

  Scenario Outline: The example of <deployment> prints the same bytes each time
    When the declaration of "<deployment>" is printed under hash seeds 0, 1 and 4711
    Then all of them are the same bytes
    And "baobabturn check" finds them valid

    Examples:
      | deployment |
      | herd       |
      | alliance   |

  Scenario: The order of declarations doesn't change the bytes
    Given a declaration program
      """
      a = config.model("a")
      b = config.model("b")
      config.workspace("w", keys=["k"], models=[a, b])
      """
    And another declaration program
      """
      b = config.model("b")
      config.workspace("w", keys=["k"], models=["a", "b"])
      a = config.model("a")
      """
    Then both print the same bytes

  Scenario Outline: A mistake names the declaration and the field
    Given a declaration program
      """
      <text>
      """
    When the program runs
    Then it ends with code 2 and one line that has "<line>"

    Examples:
      | text                                             | line                                                |
      | config.model("rumia", context_tokens="many")     | model 'rumia': context_tokens is 'many'; allowed: int |
      | config.model("rumia", contxt=1)                  | model 'rumia': got an unexpected keyword argument 'contxt' |
      | config.model("a b")                              | models 'a b': name: allowed are letters             |
      | config.model("a"); config.model("a")             | models 'a': name: declared 2 times                  |
      | config.workspace("w", models=["nosuch"])         | workspace 'w': models: 'nosuch' is not declared     |
      | config.workspace("w", weight=0.0)                | workspace 'w': weight: allowed is a number over 0   |
      | config.workspace("w", priority=True)             | workspace 'w': priority is True; allowed: int       |
      | config.workspace("w", keys=["k"]); config.workspace("v", keys=["k"]) | key_hashes: also a key of          |
      | config.workspace("w", keys=[7])                  | workspace 'w': keys                                 |
      | config.workspace("w", keys="secret")             | workspace 'w': keys is 'secret'; allowed: a list    |
      | config.model("m", adapters="quote")              | model 'm': adapters is 'quote'; allowed: a list     |
      | config.endpoint("e", url="ftp://x")              | endpoint 'e': url: allowed is an http               |
      | config.endpoint("e", url="http://x")             | endpoint 'e': memory_tokens: allowed is a number over 0 |
      | config.endpoint("e", url="http://x", service="s") | endpoint 'e': service: 's' is not declared         |
      | config.service("s", operations=[declare.operation("LIST", "/x")]) | service 's' operation '/x': method  |
      | config.service("s", operations=[declare.operation("GET", "x")])   | service 's' operation 'x': path     |
      | declare.operation("GET", "/x", repeatable="yes") | operation '/x': repeatable is 'yes'; allowed: bool  |
