Feature: A graceful stop of an entry
  Callers are sent elsewhere first; those who hold an older address answer are
  served until it has expired, and nothing in progress is cut.

  Background:
    Given a shared "herd" fleet of 3 hosts, 2 engines and 2 workers

  Scenario: An entry is stopped under a stream
    Given a stream of "stopped" with 600 tokens at entry 1
    When the entry of "cartago-1" gets SIGTERM
    Then the address answers of entries 0 and 2 soon leave "cartago-1" out
    And a caller who still holds its address is served there
    And the stream delivers all of its 600 tokens and its finish marker
    And the entry of "cartago-1" ends with code 0 and no engine holds a generation

  Scenario: An entry that is started again is used again
    When the entry of "cartago-1" is started again
    Then the address answers of entries 0 and 2 soon name "cartago-1"
