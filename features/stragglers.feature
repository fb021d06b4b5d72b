Feature: Endpoints that are slow for a while
  Slowness shows in the gaps between tokens that entries see, long before it
  shows in an endpoint's own report.

  Scenario: A slowed endpoint is found within a second and gets no new work
    Given 5 endpoints whose tokens come every 30 ms
    When "e0" has gaps of 150 ms for 1 second
    Then "e0" gets no new work and the others do

  Scenario: A silent endpoint is found
    Given 5 endpoints whose tokens come every 30 ms
    When "e0" is silent for 1 second
    Then "e0" gets no new work and the others do

  Scenario: A slowed endpoint that has emptied is probed, and taken back
    Given 5 endpoints whose tokens come every 30 ms
    When "e0" has gaps of 150 ms for 1 second
    Then "e0" gets a probe after 2 seconds, and no second one
    When "e0" has gaps of 30 ms for 2 seconds
    Then all endpoints get new work

  Scenario: When all are slow none is a straggler
    Given 5 endpoints whose tokens come every 30 ms
    When all have gaps of 150 ms for 1 second
    Then all endpoints get new work

  Scenario: A larger batch alone makes no straggler
    Given 5 endpoints whose tokens come every 30 ms
    When "e0" has a batch of 40 and gaps of 70 ms for 1 second
    Then all endpoints get new work

  Scenario: An engine that keeps to the goal for gaps is no straggler beside fast ones
    Given 5 endpoints whose tokens come every 10 ms
    When "e0" has gaps of 25 ms for 1 second
    Then all endpoints get new work

  Scenario: A straggler at which only other gateways' requests run is taken back
    Given 5 endpoints whose tokens come every 30 ms
    When "e0" has gaps of 150 ms for 1 second
    And nothing is seen of "e0" for 4 seconds, while requests run there
    Then all endpoints get new work

  Scenario: A whole answer on a slowed engine is tried at another and won there
    Given a shared "herd" fleet of 3 hosts, 3 engines and 1 workers
    When 6 whole answers of 60 tokens are asked for while the first engine is slow
    Then each whole answer is right and from one generation
    And a second attempt was made and won
    And no generation is left open at the engines
