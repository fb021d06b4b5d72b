Feature: The whole path
  A declared configuration is in force everywhere, callers ask for addresses,
  stream generations, and call plain services.

  Background:
    Given a shared "herd" fleet of 3 hosts, 2 engines and 2 workers

  Scenario: A caller streams a generation through an address it was given
    When "buyers" asks for the addresses to use
    And "buyers" streams "short" of 12 tokens at the first of them
    Then each of the 12 tokens of "short" came once and in order
    And the stream ended with its finish marker

  Scenario: A call that may not be repeated runs once for one key
    When "clerks" posts the tally "calf-7" with key "k-7" at entry 0
    And "clerks" posts the tally "calf-7" with key "k-7" at entry 1
    Then both answers are the same
    And the workers ran "calf-7" 1 time

  Scenario: The time line shows a request across processes
    When "buyers" streams "lined" of 4 tokens at entry 0
    Then the time line of that request names "request-received, request-granted, attempt-sent, first-token, attempt-ended, request-finished"
