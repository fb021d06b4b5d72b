Feature: Learned lengths
  Lengths are learned from what has ended and from what was cut off, by
  workspace, model and kind.

  Scenario: With no sample a broad distribution is assumed
    Given learned lengths that hold at most 50 keys
    Then the chance of "w/m/k" over 100 tokens is 0.3 to 0.7
    And the chance of "w/m/k" over 4000 tokens is 0.001 to 0.1

  Scenario: A kind's lengths are learned, and a new workspace leans on them
    Given learned lengths that hold at most 50 keys
    When 300 generations of "w/m/read" of about 10 tokens ended
    And 300 generations of "w/m/summary" of about 400 tokens ended
    Then the chance of "w/m/read" over 64 tokens is 0 to 0.02
    And the chance of "other/m/read" over 64 tokens is 0 to 0.05
    And the chance of "w/m/summary" over 64 tokens is 0.9 to 1

  Scenario: A workspace with few samples follows what its kind has learned since
    Given learned lengths that hold at most 50 keys
    When 2 generations of "other/m/read" of about 10 tokens ended
    Then the chance of "other/m/read" over 64 tokens is 0.15 to 0.9
    When 300 generations of "w/m/read" of about 10 tokens ended
    Then the chance of "other/m/read" over 64 tokens is 0 to 0.05

  # Guards against admission by the mean of requests whose callers know better.
  Scenario: Estimates that are right in the median tell long answers from short ones
    Given learned lengths that hold at most 50 keys
    When 400 generations of "w/m/k" of 10 to 1000 tokens with estimates ended
    Then the chance of "w/m/k" over 200 tokens is 0.25 to 0.45
    And the chance of "w/m/k" over 200 tokens is 0.8 to 1 with an estimate of 900
    And the chance of "w/m/k" over 200 tokens is 0 to 0.15 with an estimate of 30
    And the chance of "other/m/k" over 200 tokens is 0.7 to 1 with an estimate of 900

  Scenario: Estimates that say nothing do no harm
    Given learned lengths that hold at most 50 keys
    When 600 generations of "w/m/k" of 10 to 1000 tokens with random estimates ended
    Then the chance of "w/m/k" over 200 tokens is 0.2 to 0.5 with an estimate of 900
    And the chance of "w/m/k" over 200 tokens is 0.2 to 0.5 with an estimate of 30

  Scenario: An estimate of a size that hasn't been seen is as none
    Given learned lengths that hold at most 50 keys
    When 400 generations of "w/m/k" of 10 to 1000 tokens with estimates ended
    Then the chance of "w/m/k" over 200 tokens is 0.25 to 0.45 with an estimate of 9

  Scenario: Generations that were cut off don't make lengths look short
    Given learned lengths that hold at most 50 keys
    When 300 generations of "w/m/k" of 200 tokens ended, as many cut at 5
    Then the chance of "w/m/k" over 100 tokens is 0.9 to 1

  Scenario: What has run long is expected to run longer
    Given learned lengths that hold at most 50 keys
    Then more is expected of "w/m/k" after 800 tokens than after 8

  Scenario: A change of lengths is followed
    Given learned lengths that hold at most 50 keys
    When 400 generations of "w/m/k" of about 10 tokens ended
    And 800 generations of "w/m/k" of about 400 tokens ended
    Then the chance of "w/m/k" over 100 tokens is 0.7 to 1

  Scenario: Kinds that callers invent don't fill the memory
    Given learned lengths that hold at most 50 keys
    When a generation of each of 500 kinds ended
    Then no more than 50 keys are held

  Scenario: What was learned is handed on in a compact form
    Given learned lengths that hold at most 50 keys
    When 300 generations of "w/m/read" of about 10 tokens ended
    And other learned lengths take in what these hand on
    Then the chance of "w/m/read" over 64 tokens is 0 to 0.05
    And what was handed on is at most 2000 bytes

  Scenario: Garbage that is handed on changes nothing
    Given learned lengths that hold at most 50 keys
    When other learned lengths take in garbage
    Then the chance of "w/m/k" over 100 tokens is 0.3 to 0.7

  Scenario: A pool's next owner knows what the former one had learned
    Given a fleet whose schedulers hand on what they learned each 0.3 seconds
    When 6 short answers have ended and the entries keep what was learned
    And the owner of what was learned is killed
    Then another scheduler owns the pool and knows as many lengths
