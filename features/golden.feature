Feature: Whole sessions as golden files
  Each session is written down with its requests, answers, stream and time line,
  with times, ids, ports and tokens normalised.  A changed session fails; run with
  BAOBABTURN_UPDATE_GOLDEN=1 to write the files anew, and read the difference.

  Background:
    Given a shared "herd" fleet of 2 hosts, 1 engines and 1 workers
    And its pools are settled and their engines serve

  Scenario Outline: <session>
    When the session "<session>" is played
    Then it reads as its golden file

    Examples:
      | session                |
      | season summary         |
      | finish question        |
      | tally correction twice |
      | unknown model          |
      | wrong key              |
      | malformed body         |
      | racing operators       |
