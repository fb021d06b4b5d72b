Feature: Endpoints that say in their answers that they leave or want a pause
  Both hold for the gateway that got the answer, at once and by its own memory.

  # Guards against a gateway that believes the store alone.
  Scenario Outline: An endpoint whose answers say that it leaves gets no more <requests>
    Given a site with <plain> plain endpoints, <engines> engines and 1 gateways
    And the first endpoint's answers say that it leaves
    When 20 <requests> a second come at all gateways for 2 seconds
    And the store says again that the first endpoint is ready
    And 20 <requests> a second come at all gateways for 2 seconds
    Then the first endpoint got none later than 0.5 seconds after its first answer
    And all requests are answered

    Examples:
      | requests      | plain | engines |
      | safe requests | 2     | 0       |
      | streams       | 0     | 2       |

  # Guards against a departure that a new process under the same name inherits.
  Scenario: An endpoint that has started again under its name gets requests again
    Given a site with 2 plain endpoints, 0 engines and 1 gateways
    And the first endpoint's answers say that it leaves
    When 20 safe requests a second come at all gateways for 1 seconds
    And the first endpoint starts again under its name, and the other one leaves
    And 20 safe requests a second come at all gateways for 1 seconds
    Then all requests are answered

  # Guards against a gateway that sends to an endpoint which has asked for a pause.
  Scenario Outline: An endpoint that refuses with a time to come back gets no <requests> till then
    Given a site with <plain> plain endpoints, <engines> engines and 1 gateways
    And the first endpoint refuses with a time to come back of 2 seconds
    When 20 <requests> a second come at all gateways for 6 seconds
    Then at most 2 reach the first endpoint from 0.5 seconds after a refusal to its end
    And all requests are answered

    Examples:
      | requests      | plain | engines |
      | safe requests | 2     | 0       |
      | streams       | 0     | 2       |

  # Guards against calls besides requests, which an endpoint in need of rest gets as well.
  Scenario: An engine that refuses a move with a time to come back gets no call till then
    Given a site with 0 plain endpoints, 2 engines and 1 gateways
    And engines refuse to move runs with 503 and a time to come back of 1.5 seconds
    When 6 streams have begun, and the first engine leaves
    Then at most 2 calls reach it from 0.5 seconds after the first refusal to its end

  # Guards against requests that wait for endpoints which surely take none in time.
  Scenario: If all endpoints want a pause requests are refused at once with its end
    Given a site with 2 plain endpoints, 0 engines and 1 gateways
    And all endpoints refuse with a time to come back of 5 seconds
    When 20 safe requests a second come at all gateways for 2 seconds
    Then the rest is refused with a time to come back, within 0.5 seconds
    And at most 2 reach the first endpoint from 0.5 seconds after a refusal to its end
