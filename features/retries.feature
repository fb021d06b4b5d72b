Feature: Retries stay within their budget
  Only what provably didn't run, or may run again, is tried again, and no storm
  of retries follows when endpoints fail.

  Background:
    Given a shared "herd" fleet of 3 hosts, 4 engines and 2 workers

  Scenario: Half of the engines refuse for 10 s
    Given half of the engines refuse work
    When requests come from all entries for 10 s
    Then the engines were asked less than 1.2 times for each request
    And each request that failed was told at once that it did not run
    And no request ran twice

  Scenario: Engines that refuse draw no work while others have room
    Given half of the engines refuse work
    When requests come from all entries for 6 s
    Then every request was answered whole
    And the engines were asked less than 1.2 times for each request
    When the refusing engines take work again
    And requests come from all entries for 6 s
    Then each of them got new work

  Scenario: A request that an engine rejects isn't tried elsewhere
    Given every engine rejects requests as malformed
    When "buyers" asks once for a whole answer
    Then the answer is the error 1409 with run "not-run"
    And the engines were asked 1 time for it

  Scenario: A service that resets before the body is told apart from one that ran
    Then a repeatable call and one that is not end so under each fault
      | fault              | read  | tally code | tally run | tally ran |
      | refuse             | 200   | -          | unknown   | 0         |
      | reset_before_run   | 200   | 1403       | unknown   | 0         |
      | reset_after_run    | 200   | 1403       | unknown   | 1         |
      | truncate           | 200   | 1403       | unknown   | 1         |
