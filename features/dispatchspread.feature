Feature: Capacity that many gateways find free at the same moment
  No network: 63 gateways with the same engines hear of each grant 8 ms later.

  # Guards against 11 generations at an engine that has room for one.
  Scenario: An engine has room for one more while requests wait at 11 of 63 gateways
    Given 63 gateways, and an engine with room for 8 generations that is full
    And a long request waits at 11 of the gateways
    When one of the generations ends, in 20 plays
    Then on average at most 2 of the requests are granted at once
    And in each play at least one is granted within 0.2 s

  Scenario: Urgent requests come before others that wait at other gateways
    Given 63 gateways, and an engine with room for 8 generations that is full
    And a long request waits at 11 of the gateways, and an urgent one at 2 of them
    When one of the generations ends, in 20 plays
    Then an urgent one is the first in each play

  Scenario: A gateway that is alone grants at once
    Given 1 gateway, and an engine with room for 8 generations that is full
    And a long request waits at 1 of the gateways
    When one of the generations ends, in 1 play
    Then in each play at least one is granted within 0 s
