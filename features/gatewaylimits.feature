Feature: Endpoints that name a limit on their rate of requests
  The limit is for all gateways together.  It is passed if the endpoint gets more than
  one and a half times as many requests in some 4 seconds, and 5, from gateways that
  have passed on such an answer, beginning 3 seconds after the first one.

  # Guards against gateways that send on as if no limit were named.
  Scenario Outline: <requests> of many callers keep to the limit of one endpoint
    Given a site with <plain> plain endpoints, <engines> engines and 3 gateways
    And one of them names a limit of 2 requests a second
    When 30 <requests> a second come at all gateways for 8 seconds
    Then the endpoint's limit is not passed
    And it gets at least half of what it takes
    And all requests are answered

    Examples:
      | requests        | plain | engines |
      | safe requests   | 3     | 0       |
      | unsafe requests | 3     | 0       |
      | streams         | 0     | 3       |

  # Guards against repeats that are sent to an endpoint beyond its limit.
  Scenario: Further attempts keep to the limit as well
    Given a site with 3 plain endpoints, 0 engines and 3 gateways
    And one of them names a limit of 2 requests a second
    And the others answer every request with an error
    When 30 safe requests a second come at all gateways for 8 seconds
    Then the endpoint's limit is not passed

  # Guards against requests that wait for what they surely can't get.
  Scenario: When all endpoints are limited the rest is refused at once
    Given a site with 2 plain endpoints, 0 engines and 3 gateways
    And all of them name a limit of 2 requests a second
    When 30 safe requests a second come at all gateways for 8 seconds
    Then no endpoint's limit is passed
    And each of them gets at least half of what it takes
    And the rest is refused with a time to come back, within 1.6 seconds
    And each gateway has answered some

  # Guards against a limit that holds on after the endpoint has ceased to name it.
  Scenario: A limit ends with the answers that name it
    Given a site with 2 plain endpoints, 0 engines and 3 gateways
    And one of them names a limit of 2 requests a second
    When 30 safe requests a second come at all gateways for 4 seconds
    And the endpoint names no limit any more, and the other one leaves
    And 30 safe requests a second come at all gateways for 4 seconds
    Then all requests of the last 3 seconds are answered

  # Guards against a gateway that starts again and sends what the others hold back.
  Scenario: A gateway that starts again hears of the limit before its first request
    Given a site with 2 plain endpoints, 0 engines and 3 gateways
    And one of them names a limit of 0.5 requests a second
    When 30 safe requests a second come at all gateways for 4 seconds
    And one gateway starts again
    And 30 safe requests a second come at all gateways for 6 seconds
    Then the endpoint's limit is not passed
