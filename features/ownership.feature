Feature: Which scheduler owns a pool, and its hand-over
  One scheduler owns each pool.  When it dies, hangs or leaves, the next owner
  learns from the entries what they hold and goes on.

  Background:
    Given a shared "herd" fleet of 3 hosts, 2 engines and 2 workers

  Scenario: The owner's scheduler is killed under a stream
    Given "herders-north" streams "season" of 300 tokens at entry 0 in the background
    When the scheduler that owns the pool is killed
    Then another scheduler owns the pool within 5 s
    And "buyers" gets "question" of 3 tokens whole from every entry
    And the new owner counts the places that the entries hold
    And the stream "season" is whole
    And the killed scheduler is started again

  Scenario: The owner's scheduler hangs and wakes
    When the scheduler that owns the pool is paused
    Then another scheduler owns the pool within 10 s
    And "buyers" gets "during" of 3 tokens whole from every entry
    When the paused scheduler wakes
    Then all hosts agree again on who owns the pool
    And "buyers" gets "after" of 3 tokens whole from every entry

  Scenario: The owner's scheduler is stopped gracefully with requests waiting
    Given both engines are frozen
    And "herders-north" asks for 8 generations of a third of an engine's memory
    When the scheduler that owns the pool is terminated
    Then another scheduler owns the pool within 5 s
    And all 8 generations are whole once the engines go on
    And the terminated scheduler is started again
