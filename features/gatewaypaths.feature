Feature: Gateways that lose their paths to endpoints
  Callers, the store and the other gateways still reach such a gateway.  Its connections
  to endpoints hang or are refused.  From 3 seconds after the cut callers' first attempts
  there are to be served at least two thirds as often as at the others.

  # Guards against a gateway that has no way to an endpoint but its own connections.
  Scenario Outline: Callers' <requests> are served through another gateway while connections <end>
    Given a site with <plain> plain endpoints, <engines> engines and 3 gateways
    And two gateways lose their paths to all endpoints, and connections <end>
    When 30 <requests> a second come at all gateways for 5 seconds
    Then those sent later than 3 seconds are served two thirds as often there

    Examples:
      | requests        | plain | engines | end         |
      | safe requests   | 3     | 0       | hang        |
      | safe requests   | 3     | 0       | are refused |
      | unsafe requests | 3     | 0       | hang        |
      | unsafe requests | 3     | 0       | are refused |
      | streams         | 0     | 3       | hang        |
      | streams         | 0     | 3       | are refused |

  # Guards against requests that wait where nobody can serve them.
  Scenario: If all gateways are cut off requests are refused at once
    Given a site with 3 plain endpoints, 0 engines and 3 gateways
    And all gateways lose their paths to all endpoints, and connections hang
    When 30 safe requests a second come at all gateways for 5 seconds
    Then those sent later than 3 seconds are refused as not run, within 0.5 seconds

  # Guards against a detour that stays after the cut.
  Scenario: After the cut requests go straight again
    Given a site with 3 plain endpoints, 0 engines and 3 gateways
    And two gateways lose their paths to all endpoints, and connections are refused
    When 30 safe requests a second come at all gateways for 3 seconds
    And the paths are back
    And 30 safe requests a second come at all gateways for 4 seconds
    Then those of the last 2 seconds went straight to the endpoints, and were served

  # Guards against a cut that is told to all as a crash of endpoints.
  Scenario: A cut isn't taken for a crash of the endpoints
    Given a site with 0 plain endpoints, 3 engines and 3 gateways
    When streams are cut off at two gateways that lose their paths to all endpoints
    Then no gateway has logged that an endpoint crashed

  # Guards against a caller who asks for the detour, or makes one up.
  Scenario: Only gateways may pass on requests to gateways
    Given a site with 1 plain endpoints, 0 engines and 2 gateways
    When a caller sends requests to where gateways take those of others
    Then none of them is served

  # Guards against work that goes on behind two gateways after its caller has left.
  Scenario: A caller leaves a stream that comes through another gateway
    Given a site with 0 plain endpoints, 2 engines and 2 gateways
    And one gateway loses its paths to all endpoints, and connections are refused
    When its caller leaves a stream after 1 event
    Then the engine stops working within half a second
