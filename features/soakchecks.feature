Feature: What the fault soak plays and checks
  Without processes: what a seed determines, and what the checks find in records.

  # Guards against seeds that CI plays, or that failed once, and that now play another
  # scenario: their faults are no longer the ones that were found.
  Scenario: Recorded seeds play what they played
    Then each recorded seed has its hosts, faults, callers, configuration and draws

  # Guards against new faults that no seed plays.
  Scenario: New seeds have failure domains that return cold
    Then seed 7000 draws from "domain_returns_cold", and seed 6999 doesn't
    And seeds 7000 to 7049 have 2 failure domains or more

  # Guards against endpoints of one service only, or a service without any endpoint.
  Scenario Outline: Endpoints of <domains> failure domains, of which one returns cold
    Given a soak site of <domains> failure domains with 3 endpoints of each service
    When a failure domain returns cold
    Then <count> endpoints are gone, and as many are back in their failure domain, cold
    And their entries say so

    Examples:
      | domains | count  |
      | 2       | 3      |
      | 3       | 2      |

  Scenario: A failure domain with the last endpoint of a service stays
    Given a soak site of 2 failure domains with 1 endpoint of each service
    When a failure domain returns cold
    Then nothing is gone

  # Guards against a check that finds nothing, or finds what is allowed.
  Scenario Outline: A cold endpoint of <service> gets <count> requests <when>
    Given a soak site of 2 failure domains with 3 endpoints of each service
    When a cold endpoint of "<service>" gets <count> requests <when>
    Then <found> is found

    Examples:
      | service   | count | when                             | found      |
      | ledger    | 14    | within 0.9 s                     | nothing    |
      | ledger    | 15    | within 0.9 s                     | one fault  |
      | ledger    | 24    | within 1.8 s                     | nothing    |
      | ledger    | 15    | within 0.9 s, when it is warm    | nothing    |
      | summaries | 6     | within 0.9 s                     | nothing    |
      | summaries | 7     | within 0.9 s                     | one fault  |
