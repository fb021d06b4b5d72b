Feature: Gateways are listed for callers by failure domain, capacity and load
  Three failure domains of one region, with gateways of 400 to 2,150 thousandths of a core.

  # Guards against callers sent to other failure domains, and against small gateways that
  # get as many callers as large ones.
  Scenario: Callers of a domain with capacity to spare, at unequal gateways
    Given gateways in the failure domains "a b c", 20 in each, at 40% load
    When callers of "a" ask for addresses 4000 times
    Then each gateway of "a" gets its share of the capacity, and the others get none
    And every answer lists at least 3 addresses

  # Guards against gateways that stay crowded while others idle, and against callers that
  # swing between failure domains since loads are known late.
  Scenario Outline: The demand of a failure domain rises by <rise>
    Given failure domains of 20 gateways, whose callers use 60% of the capacity of each
    When the demand of one domain rises by <rise> for 240 seconds, and loads are known <late> seconds late
    Then from then on all domains are used below <most> of their capacity
    And the callers' shares have settled

    Examples:
      | rise | late | most |
      | 50%  | 2    | 85%  |
      | 50%  | 6    | 85%  |
      | 100% | 6    | 97%  |

  # Guards against callers that travel although it is as crowded elsewhere.
  Scenario: All failure domains are crowded alike
    Given gateways in the failure domains "a b c", 20 in each, at 95% load
    When callers of "a" ask for addresses 300 times
    Then all answers list gateways of "a" alone

  # Guards against a few gateways that get all callers of their failure domain until
  # their load is known.
  Scenario: Most gateways of a failure domain are gone
    Given gateways in the failure domains "a b c", 20 in each, at 40% load
    And only 2 gateways of "a" are left
    When callers of "a" ask for addresses 2000 times
    Then 5% to 15% of the callers are sent to "a", because there are "few"
    And every answer lists at least 3 addresses

  # Guards against an empty answer, and against one gateway that gets all callers.
  Scenario Outline: A failure domain with <left> gateways
    Given gateways in the failure domains "a b c", 20 in each, at 40% load
    And only <left> gateways of "a" are left
    When callers of "a" ask for addresses 2000 times
    Then 0% to 5% of the callers are sent to "a", because there are "<reason>"
    And every answer lists at least 3 addresses

    Examples:
      | left | reason |
      | 0    | none   |
      | 1    | few    |

  # Guards against callers of a place that nobody knows who get no answer.
  Scenario: Callers of an unknown failure domain
    Given gateways in the failure domains "a b c", 20 in each, at 40% load
    When callers of "elsewhere" ask for addresses 2000 times
    Then 25% to 42% of the callers are sent to "a", because there are "none"

  # Guards against gateways of an older build that get no callers, or all of them.
  Scenario: Half of the gateways tell neither capacity nor load
    Given gateways in the failure domains "a b c", 20 in each, at 40% load
    And every second gateway is of a build that tells neither
    When callers of "a" ask for addresses 4000 times
    Then each gateway of "a" gets its share of the capacity, and the others get none

  # Guards against an older build that is taken for idle or for crowded.
  Scenario: Gateways that tell no load beside crowded ones
    Given gateways in the failure domains "a b c", 20 in each, at 40% load
    And those of "a" that tell their load are at 100%, and every second tells none
    When callers of "a" ask for addresses 2000 times
    Then 75% to 85% of the callers are sent to "a", because there are "crowded"

  # Guards against callers sent where a service can't be reached, or over a border.
  Scenario Outline: Whom a region's callers may reach when <what>
    Given gateways of two regions, of which <what>
    Then callers of the first region, with homes "<homes>", reach <reached>

    Examples:
      | what                             | homes  | reached                             |
      | all serve                        |        | the whole ones of the first region  |
      | those of the first lost a path   |        | all of the first region             |
      | those of the first are gone      |        | all of the second and third region  |
      | those of the first are gone      | third  | all of the third region             |
