Feature: What the directories of a fleet answer to callers
  Gateways without a network on a clock of their own.  Every answer is asked of every
  gateway that runs.

  # Guards against callers spread over all failure domains although their own has room.
  Scenario: Callers state their failure domain
    Given a fleet of 63 gateways in 3 failure domains
    And the failure domains are in the regions "north north north"
    When the fleet runs for 7 seconds
    Then callers of "z1" are told of 3 or more, of "z1"
    And callers that state no failure domain are told of all 63 gateways
    And callers of "nowhere" are told of 3 or more, of "z0 z1 z2"

  # Guards against a small fleet, or one whose settings name no regions, that answers
  # otherwise than before.
  Scenario Outline: All gateways are listed <when>
    Given a fleet of <size> gateways in 3 failure domains
    And the failure domains are in the regions "<regions>"
    When the fleet runs for 7 seconds
    Then callers of "z1" are told of all <size> gateways

    Examples:
      | when                    | size | regions           |
      | in a small fleet        | 16   | north north north |
      | if no regions are known | 63   |                   |

  # Guards against gateways that stay crowded while others have room, and against a log
  # line for each answer.
  Scenario: The gateways of a failure domain are crowded
    Given a fleet of 63 gateways in 3 failure domains
    And the failure domains are in the regions "north north north"
    When the gateways of "z1" use 95% of their capacity, and the others 40%
    And the fleet runs for 7 seconds
    Then callers of "z1" are told of 3 or more, of "z0 z1 z2"
    And every gateway has logged once that those of "z1" are "crowded"
    And every gateway has counted addresses of the caller's and of other failure domains

  # Guards against a build that tells neither capacity nor load and gets no callers, or
  # is taken for crowded.
  Scenario: The gateways of a failure domain are of an older build
    Given a fleet of 63 gateways in 3 failure domains
    And the failure domains are in the regions "north north north"
    When the gateways of "z1" tell neither capacity nor load, and the others use 40%
    And the fleet runs for 7 seconds
    Then callers of "z1" are told of 3 or more, of "z1"

  # Guards against answers without a gateway that lives.
  Scenario: A failure domain loses all gateways
    Given a fleet of 63 gateways in 3 failure domains
    And the failure domains are in the regions "north north south"
    When the fleet runs for 7 seconds
    And the failure domain "z1" goes dark
    And the fleet runs for 7 seconds
    Then callers of "z1" are told of 3 or more, of "z0"

  # Guards against gateways that are listed for long after their death, as all that
  # monitored them died with them.
  Scenario Outline: Gateways die with all their monitors (<size>, <count>)
    Given a fleet of <size> gateways in 3 failure domains
    When the fleet runs for 7 seconds
    And <count> gateways that follow each other on the ring die
    And the fleet runs for 6.8 seconds
    Then no dead gateway is listed, and all others are

    Examples:
      | size | count |
      | 9    | 4     |
      | 63   | 4     |
      | 63   | 31    |
      | 128  | 90    |

  # Guards against requests with home regions at gateways of a wrong region.
  Scenario Outline: Callers of a host with home regions, <size> gateways in <domains> domains
    Given a fleet of <size> gateways in <domains> failure domains
    And the failure domains are in the regions "<regions>"
    And the routes' home regions are "south"
    When the fleet runs for 7 seconds
    Then callers of "z0" in "north" are told of 2 or more, of "<north>"
    And callers of "z9" in "south" are told of 2 or more, of "<south>"
    And callers from nowhere are told of 2 or more, of "<south>"
    And callers of "z9" in "desert" are told of 2 or more, of "<south>"

    Examples:
      | size | domains | regions                      | north    | south |
      | 6    | 3       | north south lake             | z0       | z1    |
      | 63   | 3       | north south lake             | z0       | z1    |
      | 145  | 5       | north south lake north north | z0 z3 z4 | z1    |

  # Guards against log lines and memory without bound by what callers state.
  Scenario: Callers invent failure domains
    Given a fleet of 63 gateways in 3 failure domains
    And the failure domains are in the regions "north south lake"
    And the routes' home regions are "south"
    When the fleet runs for 7 seconds
    And callers state 50 invented failure domains, in no region and in "desert"
    Then no gateway has kept or logged any of them

  # Guards against a rolling replacement in which gateways don't understand each other.
  Scenario: Builds with and without capacity and load read each other's state
    Given a build that doesn't know capacity and load
    Then its state tells neither here, and it reads the rest of a state of this build
