Feature: Seeds of the fault soak
  Real gateways under faults from outside; each seed that ever failed stays here,
  with its cause, and the first ones of later faults.

  Scenario Outline: Seed <seed> holds (<why>)
    When seed <seed> of the soak is played
    Then no promise was broken

    Examples:
      | seed | why                                                   |
      | 8    | a signal to read the settings ended a starting process |
      | 57   | the same signal while the interpreter itself starts   |
      | 11   | all gateways killed twice while keys and routes change |
      | 13   | the store fails, forgets, and callers are cut off      |
      | 1000 | the store returns from copies beside all other faults |
      | 7000 | endpoints of a failure domain return together, cold     |
