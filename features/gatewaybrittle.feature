Feature: Endpoints that fall over when they have to turn too many requests away
  They say in all their answers how many a second they bear, all gateways together.
  Those of a service may fall over twice, and once more for each ten of them.

  # Guards against gateways that find out by refusals whether an endpoint has room.
  Scenario Outline: More <requests> come than brittle endpoints have room for
    Given a site with <plain> plain and <engines> engine endpoints with room for <room>, and 3 gateways
    And they bear 3 refusals a second
    When <rate> <requests> a second come at all gateways for 8 seconds
    Then at most 2 endpoints have fallen over
    And the endpoints' places are taken for at least <used> of 8 seconds
    And the rest is refused with a time to come back, within <held> seconds

    Examples:
      | requests      | plain | engines | room | rate | used | held |
      | safe requests | 3     | 0       | 4    | 60   | 0.67 | 1.6  |
      | streams       | 0     | 2       | 4    | 40   | 0.33 | 3.2  |

  # Guards against endpoints that have never been asked, in a service that is brittle.
  Scenario: All callers come at one gateway of many
    Given a site with 3 plain and 0 engine endpoints with room for 4, and 6 gateways
    And they bear 2 refusals a second
    When 60 safe requests a second come at the first gateway for 6 seconds
    Then at most 2 endpoints have fallen over
    And at least 20 of the requests are answered

  # Guards against care that outlasts its reason.
  Scenario: Endpoints cease to be brittle
    Given a site with 3 plain and 0 engine endpoints with room for 4, and 3 gateways
    And they bear 3 refusals a second
    When 20 safe requests a second come at all gateways for 3 seconds
    And the endpoints aren't brittle any more
    And 20 safe requests a second come at all gateways for 2 seconds
    And 24 safe requests a second come at the first gateway for 4 seconds
    Then all requests of the last 3 seconds are answered

  # Guards against gateways that each use up what an endpoint bears.
  Scenario Outline: An endpoint without any room is asked seldom by many gateways (<size>)
    Given a fleet of <size> gateways in <domains> failure domains
    When the fleet runs for 4 seconds
    And an endpoint refuses everything and bears <limit> refusals a second, and 40 requests a second might go there for 20 seconds
    Then it refuses at most <limit> in any second later than 3 seconds after the first

    Examples:
      | size | domains | limit |
      | 2    | 2       | 4     |
      | 9    | 4       | 4     |
      | 65   | 3       | 6     |
      | 195  | 3       | 8     |

  # Guards against slots that two gateways use, or none.
  Scenario Outline: Each slot of an endpoint is one gateway's (<gateways>)
    When <gateways> gateways share <endpoints> endpoints of <slots> slots
    Then each slot is one gateway's, and they differ by one slot at most
    And a gateway that leaves takes few slots from one gateway to another

    Examples:
      | gateways | endpoints | slots |
      | 1        | 4         | 6     |
      | 9        | 4         | 6     |
      | 9        | 6         | 64    |
      | 65       | 30        | 6     |
      | 195      | 62        | 24    |
