Feature: Hundreds of gateways
  No network and a clock of its own: what gateways tell each other, and what they
  hold of one another, when there are many of them.

  Scenario Outline: Heartbeats of a growing fleet (<size>)
    Given a fleet of <size> gateways in 5 failure domains
    When the fleet runs for 12 seconds
    Then no gateway has received more than 9000 bytes or 30 datagrams a second

    Examples:
      | size |
      | 65   |
      | 195  |
      | 350  |

  Scenario Outline: A gateway of a fleet dies (<size>)
    Given a fleet of <size> gateways in <domains> failure domains
    When the fleet runs for 4 seconds
    And the gateway 1 dies
    And the fleet runs for 2.4 seconds
    Then no gateway near it takes it for alive
    And all others are taken for alive by those near them

    Examples:
      | size | domains |
      | 9    | 3       |
      | 65   | 3       |
      | 145  | 5       |

  Scenario: Half of a fleet dies at once
    Given a fleet of 145 gateways in 5 failure domains
    When the fleet runs for 4 seconds
    And every second gateway dies
    And the fleet runs for 4 seconds
    Then no gateway near them takes one of the dead for alive
    And all others are taken for alive by those near them

  Scenario: A killed process is back before its silence is noticed
    Given a fleet of 145 gateways in 5 failure domains
    When the fleet runs for 4 seconds
    And the gateway 1 makes a reservation
    And the gateway 1 is restarted
    And the fleet runs for 0.8 seconds
    Then no gateway near it holds a reservation of it
    And all others are taken for alive by those near them

  Scenario: A monitor that hears nothing of a sound gateway is refuted
    Given a fleet of 145 gateways in 5 failure domains
    When the fleet runs for 4 seconds
    And a monitor of the gateway 1 doesn't hear it any more
    And the fleet runs for 2.4 seconds
    Then all others but that monitor take the gateway 1 for alive

  Scenario: A process that was paused takes nobody for silent when it wakes
    Given a fleet of 145 gateways in 5 failure domains
    When the fleet runs for 4 seconds
    And the gateway 1 is paused for 5 seconds and wakes
    Then it reports nobody as silent
    And the fleet runs for 1.2 seconds
    And all others are taken for alive by those near them

  Scenario: A gateway is cut off from its failure domain and joined again
    Given a fleet of 145 gateways in 5 failure domains
    When the fleet runs for 4 seconds
    And the gateway 0 is cut off from those near it for 6 seconds
    And the fleet runs for 2.4 seconds
    Then all others are taken for alive by those near them

  Scenario: Machines are added to a fleet that others monitor already
    Given a fleet of 145 gateways in 5 failure domains of which 45 start late
    When the fleet runs for 4 seconds
    And the late ones start
    And the fleet runs for 8 seconds
    Then no gateway was reported as silent

  Scenario: Work is counted exactly near by and in aggregate far away
    Given a fleet of 145 gateways in 5 failure domains
    When the fleet runs for 4 seconds
    And the gateway 1 makes a reservation
    Then all gateways near it hold the reservation
    When the fleet runs for 2 seconds
    Then all other failure domains count 1 request at the engine
    When the gateway 1 releases it
    Then no gateway near it holds a reservation of it
    When the fleet runs for 2 seconds
    Then all other failure domains count 0 requests at the engine

  Scenario: The holder of a reservation dies
    Given a fleet of 145 gateways in 5 failure domains
    When the fleet runs for 4 seconds
    And the gateway 1 makes a reservation
    And the gateway 1 dies
    And the fleet runs for 5 seconds
    Then no gateway near it holds a reservation of it
    And all other failure domains count 0 requests at the engine

  Scenario: The watchers of all failure domains die at once
    Given a fleet of 145 gateways in 5 failure domains
    When the fleet runs for 4 seconds
    And the watchers of all failure domains die
    And the fleet runs for 12 seconds
    Then every gateway has a fresh aggregate of each other failure domain

  Scenario: The likeliest watchers are gone before anybody starts
    Given a fleet of 145 gateways in 5 failure domains without its likeliest watchers
    When the fleet runs for 12 seconds
    Then every gateway has a fresh aggregate of each other failure domain

  Scenario: A gateway whose calls to the store failed leaves them to the root again
    Given a fleet of 9 gateways in 3 failure domains
    When the fleet runs for 2 seconds
    And the calls of a gateway that isn't the root have failed
    And it is confirmed again by the others
    Then it isn't cut off from the store

  # Guards against gateways that confirm to one another what they knew before the root
  # was cut off, and so don't look at the store for seconds.
  Scenario Outline: A <place> whose confirmations are all old watches the store itself
    Given a fleet of 9 gateways in 3 failure domains
    When the fleet runs for 2 seconds
    And for 2 seconds a <place> hears only that nothing was newer when they began
    Then it watches the store itself

    Examples:
      | place         |
      | watcher       |
      | plain gateway |

  # Guards against gateways that the store turns away and that have missed a change.
  Scenario: A gateway behind a gap gets all objects from its watcher
    Given a fleet of 9 gateways in 3 failure domains
    When the fleet runs for 2 seconds
    And a watcher has listed the store after a change that others have missed
    Then it has sent all objects to the gateways of its domain
    And sends them to a gateway that asks with the version before

  Scenario: Callers are spread over all failure domains
    Given a fleet of 145 gateways in 5 failure domains
    When the fleet runs for 4 seconds
    Then every gateway names 64 others, of each failure domain 11 to 15
    When the failure domain "z0" goes dark
    And the fleet runs for 6 seconds
    Then no gateway names one of "z0"

  Scenario: Callers of a failure domain that is nearly gone are sent elsewhere
    Given a fleet of 145 gateways in 5 failure domains
    When the fleet runs for 4 seconds
    And all gateways of "z0" but one die
    And the fleet runs for 6 seconds
    Then the one that is left names 30 gateways or more

  Scenario: A crowded engine far away isn't taken for an empty one
    Given a pool of two engines of which others far away fill the first
    When a long request comes
    Then it goes to the second engine
    When the far ones are gone and the second fills up
    And a long request comes
    Then it goes to the first engine

  # Guards against prompts that crash one engine after the other at different gateways.
  Scenario Outline: Crashes that many gateways see one by one are put together (<size>)
    Given a fleet of <size> gateways in <domains> failure domains
    When the fleet runs for 4 seconds
    And a tenth of all datagrams gets lost
    And 5 gateways see an engine crash under one part, 0.6 seconds apart
    And the fleet runs for 2.4 seconds
    Then all gateways refuse that part and no other

    Examples:
      | size | domains |
      | 2    | 2       |
      | 9    | 4       |
      | 65   | 3       |
      | 195  | 3       |
      | 350  | 5       |

  # Guards against a gateway that sends a quarantined prompt after its restart.
  Scenario Outline: A gateway that starts anew, or was cut off, hears of the part (<size>)
    Given a fleet of <size> gateways in 3 failure domains
    When the fleet runs for 4 seconds
    And the gateway 2 hears nobody
    And 5 gateways see an engine crash under one part, 0.6 seconds apart
    And the fleet runs for 2.4 seconds
    And the gateway 2 hears all others again
    And the gateway 1 is restarted
    And the fleet runs for 2.4 seconds
    Then all gateways refuse that part and no other

    Examples:
      | size |
      | 9    |
      | 195  |

  Scenario: An answer at one gateway clears a part at all
    Given a fleet of 195 gateways in 3 failure domains
    When the fleet runs for 4 seconds
    And 5 gateways see an engine crash under one part, 0.6 seconds apart
    And the fleet runs for 2.4 seconds
    And a gateway sees an answer to a prompt with that part
    And the fleet runs for 2.4 seconds
    Then no gateway refuses that part

  # Guards against a limit that each of many gateways keeps to by itself.
  Scenario Outline: All gateways together keep to an endpoint's limit (<size>)
    Given a fleet of <size> gateways in <domains> failure domains
    When the fleet runs for 4 seconds
    And a tenth of all datagrams gets lost
    And an endpoint names a limit of <limit> a second, and 40 requests a second might go there for <seconds> seconds
    Then the endpoint gets at most one and a half times that, and 5, in any 4 seconds
    And it gets at least 0.5 of what it takes
    And requests of at least <senders> gateways got there

    Examples:
      | size | domains | limit | seconds | senders |
      | 2    | 2       | 2     | 20      | 2       |
      | 9    | 4       | 1.6   | 20      | 7       |
      | 65   | 3       | 2     | 20      | 15      |
      | 195  | 3       | 0.5   | 40      | 10      |
      | 195  | 3       | 10    | 20      | 50      |
      | 195  | 24      | 1.8   | 20      | 10      |
      | 130  | 96      | 1.8   | 8       | 5       |
      | 130  | 48      | 6     | 12      | 15      |

  # Guards against a part of the limit that is kept for gateways without requests.
  Scenario Outline: All requests come at one failure domain of <domains> (<limit>)
    Given a fleet of 195 gateways in <domains> failure domains
    When the fleet runs for 4 seconds
    And an endpoint names a limit of <limit> a second, and 40 requests a second might go there from "z1" for 20 seconds
    Then the endpoint gets at most one and a half times that, and 5, in any 4 seconds
    And it gets at least 0.7 of what it takes

    Examples:
      | domains | limit |
      | 8       | 1.8   |
      | 8       | 10    |
      | 24      | 1.8   |

  # Guards against an endpoint that gets less than it takes once gateways are gone.
  Scenario: The limit is used whole after a failure domain has died
    Given a fleet of 195 gateways in 3 failure domains
    When the fleet runs for 4 seconds
    And all gateways of the failure domain 1 die
    And the fleet runs for 6 seconds
    And an endpoint names a limit of 6 a second, and 40 requests a second might go there for 20 seconds
    Then the endpoint gets at most one and a half times that, and 5, in any 4 seconds
    And it gets at least 0.8 of what it takes

  # Guards against gateways that try a request at once which has crashed two endpoints.
  Scenario Outline: A request with two crashes is tried at one gateway (<size>, <outcome>)
    Given a fleet of <size> gateways in <domains> failure domains
    When the fleet runs for 4 seconds
    And 2 gateways see an endpoint crash under one request
    Then the request is a suspect at all gateways, and on trial at none
    When a gateway tries it
    Then the request is on trial at all gateways
    When the trial ends with <outcome>
    Then the request is <state> at all gateways

    Examples:
      | size | domains | outcome  | state   |
      | 2    | 1       | a crash  | refused |
      | 9    | 3       | a crash  | refused |
      | 195  | 5       | a crash  | refused |
      | 9    | 3       | an answer | free   |
      | 195  | 5       | an answer | free   |
