Feature: A gateway that fails in part, stops, stands still or starts again
  Errors in its own parts, a stop under load, a pause, and what it must not know any
  more after a restart.

  Scenario: One error in a background task doesn't end its work
    Given a site with 1 plain endpoints
    When the gateway fails once over a change of the endpoints
    And an endpoint is added
    Then both endpoints soon get requests
    And the gateway has logged the error

  Scenario: A datagram that a part of the gateway can't handle ends nothing
    Given a site with 1 plain endpoints and 2 gateways
    When a message between the gateways makes its handler fail
    Then both gateways are soon named
    And the error is logged and counted

  Scenario: A request that comes as the gateway is about to end
    Given a site with 2 plain endpoints that take 0.02 seconds
    When the gateway is told to stop while 800 idle callers send a request each, one after another
    Then no caller's request is cut off without an answer

  Scenario: A process that stood still counts silence anew and tells that it is back
    Given a site with 1 plain endpoints and 2 gateways
    When the first gateway's process stands still for 2.5 seconds
    Then the first gateway has reported nobody as silent

  Scenario Outline: After a restart <what> isn't used again
    Given a site with 2 plain endpoints and 3 gateways
    When <what> is withdrawn
    And the <which> is started again
    Then <what> isn't used at any gateway

    Examples:
      | what           | which          |
      | a key          | first gateway  |
      | an endpoint    | first gateway  |
      | a key          | whole system   |
      | an endpoint    | whole system   |
