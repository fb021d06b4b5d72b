Feature: Capacity that many gateways find free at the same moment
  No network: 63 gateways with the same engines hear of each grant 25 ms later.

  # Guards against 11 generations at an engine that has room for one.
  Scenario Outline: An engine has room for one more while requests wait at <count> gateways
    Given 63 gateways, and an engine with room for 8 generations that is full
    And a long request waits at <count> of the gateways
    When one of the generations ends, in 30 plays
    Then on average at most <most> of the requests are granted at once
    And in each play at least one is granted within 0.3 s

    Examples:
      | count | most |
      | 1     | 1    |
      | 11    | 2    |
      | 40    | 2.5  |

  Scenario: Urgent requests come before most others that wait at other gateways
    Given 63 gateways, and an engine with room for 8 generations that is full
    And a long request waits at 11 of the gateways, and an urgent one at 4 of them
    When one of the generations ends, in 30 plays
    Then an urgent one is the first in at least 20 of the plays

  # Guards against long requests that never have a turn at a busy engine.
  Scenario: Capacity of an engine is freed 50 times a second
    Given 63 gateways, and an engine with room for 8 generations that is full
    When capacity is freed there each 20 ms for 2 s
    Then each gateway has at least 4 turns for long requests

  Scenario: A gateway that is alone grants at once
    Given 1 gateway, and an engine with room for 8 generations that is full
    And a long request waits at 1 of the gateways
    When one of the generations ends, in 1 play
    Then in each play at least one is granted within 0 s
