Feature: Requests that crash endpoints
  A request ends each endpoint that runs it, whatever its kind.  It comes again and
  again, with the same method, path, caller and body, at all gateways.  The endpoints
  are back a second later.

  # Guards against one request that ends one endpoint after the other.
  Scenario Outline: <kind> requests that crash endpoints soon reach none
    Given a site with 4 endpoints that a <kind> request crashes and 3 gateways
    When that request comes at all gateways for 8 seconds beside sound ones
    Then at most 3 of them reach endpoints later than 3 seconds after the third crash
    And the sound requests of the last 3 seconds are served

    Examples:
      | kind      |
      | safe      |
      | unsafe    |
      | query     |
      | streamed  |
      | resumable |

  # Guards against a refused request that waits, or that is said not to have run and has.
  Scenario: It is refused at once, and with the truth
    Given a site with 4 endpoints that a unsafe request crashes and 3 gateways
    When that request comes at all gateways for 4 seconds beside sound ones
    Then the next 6 of them are refused within 0.1 seconds with a time to come back
    And none of those refused as not run has reached an endpoint

  # Guards against callers who are refused since another one's request crashes endpoints.
  Scenario: Equal requests of two callers are two requests
    Given a site with 4 endpoints that a safe request crashes and 3 gateways
    When that request comes at all gateways for 4 seconds beside sound ones
    Then the same path and body of another caller isn't refused

  # Guards against a process that starts again and sends what the others refuse.
  Scenario Outline: After a restart of <which> it reaches no endpoint
    Given a site with 4 endpoints that a safe request crashes and 3 gateways
    When that request comes at all gateways for 4 seconds beside sound ones
    And <which> starts again
    Then none of 6 more of them reaches an endpoint

    Examples:
      | which            |
      | one gateway      |
      | the whole system |

  # Guards against a sound request that is refused as its endpoint ended by chance.
  Scenario: A status that is asked for again and again is served although its endpoints end
    Given a site with 4 endpoints that a safe request crashes and 3 gateways
    When a caller asks for one status at all gateways and endpoints end 4 times under it
    Then the status is served at all gateways
