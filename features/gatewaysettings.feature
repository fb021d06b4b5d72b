Feature: A gateway follows its settings file
  The file may change with or without a signal.

  Scenario: A shorter life of removed keys holds without a new start
    Given a site with 1 plain endpoints whose settings file lets keys be trusted for 9 seconds
    When the file lets keys be trusted for 1.6 seconds
    Then the gateway logs that "revoke_ms" is applied
    When the store falls silent
    Then requests with a key soon get 503 with a time to come back

  Scenario: A change that needs a new start is said to need one
    Given a site with 1 plain endpoints whose settings file lets keys be trusted for 9 seconds
    When the file names another level of the log
    Then the gateway logs that "log" waits for a new start

  Scenario: A file with a mistake changes nothing
    Given a site with 1 plain endpoints whose settings file lets keys be trusted for 9 seconds
    When the file holds a mistake
    Then the gateway logs the mistake
    And requests with a key are soon served

  Scenario: A signal while the program is loaded doesn't end it
    Given a gateway process that is just started
    When its settings are signalled to have changed, again and again for 1.5 seconds
    Then the process still runs
