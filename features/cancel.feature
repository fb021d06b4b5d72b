Feature: No generation stays open without an owner
  What nobody waits for is cancelled at its engine, and the engine confirms it.

  Background:
    Given a shared "herd" fleet with short limits, 3 hosts, 2 engines and 1 workers

  Scenario: The caller of a whole answer leaves
    Given "auditors" waits at entry 0 for the whole of "count" of 5000 tokens
    When that caller leaves
    Then no generation is open within 2 s
    And the engines cancelled 1 generation

  Scenario: The caller of a stream leaves and doesn't come back
    Given "auditors" reads "left" of 5000 tokens from entry 0
    And 20 tokens of it have come
    When the caller leaves
    Then no generation is open within 4 s
    And the engines cancelled 1 generation
    And the pool's owner counts 0 place

  Scenario: The deadline passes with no token
    Given every engine has the fault "{"no_room": true}"
    When "auditors" asks for the whole of "never" of 10 tokens within 1 s
    Then the answer is the error 1303 and not a text
    And no generation is open within 3 s

  Scenario: An entry dies and nobody comes back
    Given "auditors" reads "dead" of 5000 tokens from entry 0
    And 20 tokens of it have come
    When the entry 0 is killed
    Then no generation is open within 8 s
    And the engines cancelled 1 generation
    And the entry 0 is started again

  Scenario: An entry and the scheduler that knew its generation die together
    Given "auditors" reads "both" of 5000 tokens from entry 0
    And 20 tokens of it have come
    When the scheduler that owns the pool is killed
    And the entry 0 is killed
    Then no generation is open within 12 s
    And the engines cancelled 1 generation
    And the entry 0 is started again
    And the killed scheduler is started again

  Scenario: An entry and a scheduler die and the caller goes on elsewhere
    Given "herders-north" reads "saved" of 500 tokens from entry 0
    And 20 tokens of it have come
    When the scheduler that owns the pool is killed
    And the entry 0 is killed
    And the caller goes on at entry 1
    Then every token of "saved" has come once and in order
    And the engines started "saved" once and cancelled none
    And the entry 0 is started again
    And the killed scheduler is started again

  Scenario: A scheduler that is paused for longer than the grace time cuts nothing
    Given "herders-north" reads "paused" of 700 tokens from entry 0
    And 20 tokens of it have come
    When the scheduler that owns the pool is paused
    And 5 s pass
    And the paused scheduler wakes
    Then every token of "paused" has come once and in order
    And the engines started "paused" once and cancelled none

  Scenario: An engine that hangs is asked again until it confirms
    Given "auditors" waits at entry 0 for the whole of "hangs" of 5000 tokens
    When the engine that runs "hangs" is paused
    And that caller leaves
    And 3 s pass
    And the paused engine wakes
    Then no generation is open within 5 s
    And the engines cancelled 1 generation

  Scenario: What others started at an engine is left alone
    Given another client reads "foreign" of 400 tokens straight from an engine
    When 4 s pass
    Then the other client's stream is whole
