Feature: Metrics, health and readiness

  Background:
    Given a shared "herd" fleet of 3 hosts, 2 engines and 2 workers

  Scenario: A host's processes are scraped as one well-formed exposition
    When "buyers" streams "measured" of 20 tokens at entry 0
    And "buyers" streams "refused" at entry 0 with the key "wrong"
    And entry 0 is scraped
    Then the exposition is well formed
    And "up" is 1 for "entry", "scheduler" and "controller"
    And "process_resident_bytes" is over 1000000 for "scheduler"
    And "process_cpu_seconds" is over 0 for "controller"
    And "inner_sent_bytes" is over 0 for "scheduler"
    And "heartbeat_sent_bytes" is over 0 for "controller"
    And "platform_calls" is over 0 for "controller"
    And "time_to_first_token_us_count" is over 0 for "entry"
    And "time_between_tokens_us_count" is over 18 for "entry"

  Scenario: A label's value is escaped as the format says
    Given metrics with the label value "a"b\c"
    Then their exposition has the text "{role="entry",kind="a\"b\\c"}"

  Scenario: A process that is gone shows as not up
    When the scheduler of "cartago-1" is killed
    And entry 1 is scraped
    Then the exposition is well formed
    And "up" is 0 for "scheduler"
    And "up" is 1 for "controller"

  Scenario: Metrics are for operators
    When entry 0 is scraped with the key "key-buyers"
    Then it is refused with 403 and code 1103

  Scenario: Health and readiness are told apart
    Then entry 0 answers "/healthz" with 200 and "/readyz" with 200
    When entry 2 is drained by its operator with a stop
    Then entry 2 answers "/healthz" with 200 and "/readyz" with 503
