Feature: What a gateway knows of the platform's store
  The configuration, keys and endpoints follow the store; what can't be confirmed
  is not acted on for longer than is allowed.

  Scenario: A key that is taken away stops to be accepted
    Given a site with 1 plain endpoints
    When the operator takes the key away
    Then requests with that key soon get 401

  Scenario: Without word from the store keys are refused, and nothing else
    Given a site with 1 plain endpoints where keys may be trusted for 1.6 seconds
    When the store falls silent
    Then requests with a key soon get 503 with a time to come back
    And requests to a route that needs no key are still served
    And the gateway isn't ready any more
    When the store answers again
    Then requests with a key are soon served

  # Guards against a directory that fails while no gateway serves.
  Scenario: Callers who ask for addresses while no gateway serves get the known ones
    Given a site with 1 plain endpoints where keys may be trusted for 1.6 seconds
    When the store falls silent
    Then the gateway is soon not ready
    And the directory still names the gateway

  Scenario: An older configuration doesn't replace a newer one
    Given a site with 1 plain endpoints
    When the operator writes version 7 without a key and then version 3 with it
    Then requests with that key soon get 401

  Scenario: A forgotten history is followed by a new list
    Given a site with 1 plain endpoints
    When the store forgets its history while an endpoint is added
    Then both endpoints soon get requests

  Scenario: A list in pages is read to its end
    Given a site with 5 plain endpoints and lists of 2 entries
    Then all 5 endpoints soon get requests

  Scenario: An entry that can't be read names no endpoint, and the others hold
    Given a site with 2 plain endpoints
    When the entry of "w0" is spoilt
    Then only "w1" gets requests

  Scenario: An endpoint that says that it leaves gets no new work
    Given a site with 2 plain endpoints
    When the endpoint "w0" begins to leave
    Then only "w1" gets requests

  Scenario: An endpoint whose entry is removed gets no new work
    Given a site with 2 plain endpoints
    When the entry of "w0" is removed
    Then only "w1" gets requests

  Scenario: An endpoint that lapsed in an outage and returns keeps its work
    Given a site with 2 plain endpoints
    When the store is away for 1.5 seconds and comes back without "w0"
    Then "w0" still gets requests
    When the entry of "w0" returns
    Then after 2 seconds "w0" still gets requests

  Scenario: An endpoint that doesn't return after an outage is gone
    Given a site with 2 plain endpoints
    When the store is away for 1.5 seconds and comes back without "w0"
    Then after 2.5 seconds only "w1" gets requests

  Scenario: The directory names the gateways that serve
    Given a site with 1 plain endpoints and 2 gateways
    Then both gateways are soon named
    When the second gateway stops
    Then only the first gateway is soon named

  Scenario: A stop cuts no answer and takes no stream that it could not end
    Given a site with 1 plain endpoints that take 0.6 seconds
    When a request is in progress and the gateway is told to stop
    Then the request in progress is answered
    And a stream is refused with 503 and a time to come back
    And the gateway isn't ready any more
