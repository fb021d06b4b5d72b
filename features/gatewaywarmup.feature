Feature: Warm-up of cold endpoints
  An endpoint that has just started takes 21 requests a second from all gateways, and
  falls over well above that: it may get 36 in any second.

  # Guards against a gateway that takes an endpoint for warm which is not.
  Scenario: An endpoint is cold for as long as its entry says
    Given an endpoint whose entry says that it is cold for 0.8 s
    Then it is cold at 0.79 s, and warm at 0.81 s

  # Guards against a new endpoint that is flooded because its entry is silent.
  Scenario: An endpoint whose entry doesn't say is taken for cold
    Given an endpoint whose entry doesn't say whether it is cold
    Then it is cold at 0.99 s, and warm at 1.01 s

  # Guards against an assumption that outlives what is known.
  Scenario: An entry ends the assumption
    Given an endpoint whose entry doesn't say whether it is cold
    When at 0.3 s a newer entry says that it is cold for 0 s
    Then it is warm at 0.31 s

  # Guards against warm endpoints that are cold anew with each list of the store.
  Scenario: An entry that is read again says nothing new
    Given an endpoint whose entry says that it is cold for 0.8 s
    When at 0.7 s the same entry says that it is cold for 0.8 s
    Then it is cold at 0.79 s, and warm at 0.81 s

  # Guards against a gateway that takes a warm endpoint for warm for ever.
  Scenario: An endpoint becomes cold again in the middle of use
    Given an endpoint whose entry says that it is cold for 0 s
    When at 5 s a newer entry says that it is cold for 1.2 s
    Then it is cold at 6.19 s, and warm at 6.21 s

  # Guards against services without a limit that get one, and against odd rates.
  Scenario: The configuration says how the endpoints of a service warm up
    Then a service is read with these fields
      | fields                            | start | rate |
      | {}                                | 1.0   | 0    |
      | {"coldPerS": 21}                  | 1.0   | 21   |
      | {"coldStartS": 2.5, "coldPerS": 4} | 2.5  | 4    |
      | {"coldPerS": -1}                  | odd   | odd  |
      | {"coldPerS": "21"}                | odd   | odd  |
      | {"coldStartS": 1e999}             | odd   | odd  |

  # Guards against a restart that only the endpoint's own report shows.
  Scenario: An endpoint's report names another incarnation than its entry
    Given an endpoint whose entry is read by a gateway, with coldLeftMs 0
    Then the gateway takes it for warm
    When its report names another incarnation
    Then the gateway takes it for cold until its new entry says coldLeftMs 0

  # Guards against endpoints that an evacuation left without traffic and that are cold.
  Scenario: The endpoints of a failure domain may be cold after its evacuation
    Given an endpoint whose entry says that it is cold for 0 s
    When at 5 s the evacuation of its failure domain ends
    Then it is cold at 5.99 s, and warm at 6.01 s

  # Guards against gateways that prolong a warm-up by the delay of their messages.
  Scenario: Two gateways tell each other of a cold endpoint
    Given an endpoint whose entry says that it is cold for 0.8 s
    When at 0.75 s another gateway says that it is cold for 0.2 s
    Then it is cold at 0.79 s, and warm at 0.81 s

  # Guards against a gateway whose watch of the store lags behind.
  Scenario: Another gateway knows of a cold endpoint first
    Given an endpoint whose entry says that it is cold for 0 s
    When at 2 s another gateway says that it is cold for 0.9 s
    Then it is cold at 2.89 s, and warm at 2.91 s

  # Guards against an endpoint that is lost over an odd value in its entry.
  Scenario: An odd value in an entry isn't known
    Then an entry is read with coldLeftMs of
      | value | seconds |
      | 800   | 0.8     |
      | 812.5 | 0.8125  |
      | 0     | 0       |
      | null  | none    |
      | -1    | none    |
      | 1e999 | none    |
      | true  | none    |
      | "800" | none    |
      | [800] | none    |
      | 1e300 | none    |

  # Guards against a warm-up that removes a named limit, and the other way round.
  Scenario Outline: An endpoint that warms up names a limit of <named> a second too
    Given a schedule of an endpoint that warms up at 20 a second for 1 s
    When its answer names a limit of <named> a second
    Then it takes <while_cold> a second
    When 1.1 s pass
    Then it takes <named> a second
    When its answer names no limit
    Then it takes any number

    Examples:
      | named | while_cold |
      | 2     | 2          |
      | 50    | 20         |

  # Guards against an answer of a cold endpoint that lets all gateways send at once.
  Scenario: An answer without a limit doesn't end the warm-up
    Given a schedule of an endpoint that warms up at 20 a second for 1 s
    When its answer names a limit of 5 a second
    And its answer names no limit
    Then it takes 20 a second
    When 1.1 s pass
    Then it takes any number

  # Guards against schedules without a limit that are kept, and told to other failure
  # domains, for every endpoint that ever was cold.
  Scenario: An endpoint without a limit has no schedule after its warm-up
    Given a schedule of an endpoint that warms up at 20 a second for 1 s
    When its answer names no limit
    Then it takes 20 a second
    When 1.1 s pass
    Then it takes any number
    And no schedule is kept

  # Guards against requests that wait for a turn which they can't get in time, and
  # against those that are refused although the endpoints are warm soon.
  Scenario: All endpoints of a service are cold at once
    Given 3 schedules of endpoints that warm up at 20 a second for 1 s
    Then a request behind 30 others would wait for 0.5 s
    And a request behind 600 others would wait for 1 s

  # Guards against urgent requests that are refused because others wait.
  Scenario: An urgent request isn't refused for the sake of less urgent ones
    Given a pool whose engines are cold, with 10 requests of priority 2 that wait
    Then a request of priority 0 has 0 ahead of it, and one of priority 5 has 10

  # Guards against requests that are refused because of others, bound to other regions.
  Scenario: Requests that are bound to another region aren't ahead of one
    Given a pool whose engines are cold, with 10 requests of priority 2 that wait
    And 4 of them need the failure domain "z1"
    Then a request of priority 5 of "south" has 6 ahead of it, and one of "north" 10
    And a request of priority 0 has 0 ahead of it, and one of priority 5 has 10

  # Guards against urgent requests that wait behind those that came before them.
  Scenario: A turn goes to the most urgent request that waits for it
    When requests of priority 2, 1, 1 and 0 book turns one after another
    Then the turns go to those of priority 0, 1, 1 and 2
    And one of priority 0 would get the first of the turns that the others booked

  # Guards against urgent requests that are told of a turn which another one has got.
  Scenario: An urgent request has taken the turn of a less urgent one
    When a request books a turn in 0.02 s, and a more urgent one that in 5 s
    And the more urgent one has got the first turn
    Then the turn of another urgent one comes in 4 s or later

  # Guards against requests that wait in vain while other endpoints could take them.
  Scenario: An endpoint leaves while a request waits for its turn there
    Given an endpoint whose entry is read by a gateway, with coldLeftMs 0
    When it says that it is leaving while a request waits for a turn in 9 s
    Then the wait has ended without a turn within 1 s

  # Guards against a turn that is lost because the wait for it ends at the same time.
  Scenario: A turn comes when the time for waiting ends
    When a request waits for a turn in 0.02 s, for 0.01 s at most
    Then the turn comes

  # Guards against requests that wait for a cold engine while another one is free.
  Scenario: A warm engine has room again before the turn of a cold one comes
    Given a pool with a warm engine for one request, and one whose turn comes in 9 s
    When a second request waits, and the first one ends
    Then the second one is granted the warm engine within 1 s

  # Guards against answers that say how cold an endpoint is, and aren't read.
  Scenario: An answer says that its endpoint is cold
    Then an answer is read with X-Cold-Ms of
      | value | seconds |
      | 800   | 0.8     |
      | 0     | 0       |
      |       | none    |
      | -1    | none    |
      | nan   | none    |
      | text  | none    |
    When an answer of an endpoint that was warm says that it is cold for 0.5 s
    Then it is cold at 0.49 s, and warm at 0.51 s

  # Guards against an endpoint that returns empty and attracts every gateway at once.
  Scenario Outline: An endpoint returns empty while all <size> gateways have requests
    Given a fleet of <size> gateways in <domains> failure domains
    When the fleet runs for 4 seconds
    And a tenth of all datagrams gets lost
    And an endpoint returns cold for 2 seconds, known to all within <news> seconds
    Then the cold endpoint gets at most 36 requests in any second, and 14 a second or more

    Examples:
      | size | domains | news |
      | 3    | 3       | 0.01 |
      | 63   | 3       | 0.01 |
      | 63   | 3       | 0.5  |
      | 82   | 3       | 0.05 |
      | 195  | 3       | 0.05 |

  # Guards against a gateway that hears of no others' requests and uses the whole rate.
  Scenario: A gateway that is cut off uses only its share
    Given a fleet of 9 gateways in 3 failure domains
    When the fleet runs for 4 seconds
    And the gateway 8 is cut off from all others for 4 seconds
    And an endpoint returns cold for 2 seconds, known to all within 0.01 seconds
    Then the gateway 8 has sent at most 7 requests
    And the cold endpoint gets at most 36 requests in any second, and 14 a second or more

  # Guards against warm-ups at a part of the rate after each pause of a process.
  Scenario: Gateways that are long gone don't count as cut off after a pause
    Given a fleet of 9 gateways in 3 failure domains
    When the fleet runs for 4 seconds
    And 3 gateways end, and the others pause for 700 seconds
    And the fleet runs for 4 seconds
    Then each of the others hears all gateways that count

  # Guards against a count of all gateways for each of many cold endpoints.
  Scenario: Many endpoints are cold in a large fleet
    Given an endpoint whose entry is read by a gateway, with coldLeftMs 800
    And 20 more endpoints are cold
    Then an update of their limits counts the gateways that are heard once

  # Guards against old peers whose news end a warm-up, or that take one for a limit.
  Scenario: An older peer says nothing of a warm-up
    Given a fleet of 2 gateways in 1 failure domains
    When the fleet runs for 1 seconds
    And an endpoint returns cold for 2 seconds, known to all within 0 seconds
    Then news without the new field leave the endpoint cold
    And the news of a request there name no limit, so that an older peer knows none

  # Guards against real gateways that don't wire these decisions.
  Scenario Outline: <requests> come at three gateways when an endpoint returns empty
    Given a site with <plain> plain endpoints, <engines> engines and 3 gateways
    And cold endpoints take 4 requests a second
    When one of them starts again and is cold for 3 seconds
    And 40 <requests> a second come at all gateways for 2 seconds
    Then it gets at most 11 requests in any second
    And all requests are answered

    Examples:
      | requests        | plain | engines |
      | safe requests   | 3     | 0       |
      | unsafe requests | 3     | 0       |
      | streams         | 0     | 3       |

  # Guards against requests that wait in vain for cold endpoints.
  Scenario: All endpoints return empty at once at three gateways
    Given a site with 2 plain endpoints, 0 engines and 3 gateways
    And cold endpoints take 4 requests a second
    When all of them start again and are cold for 4 seconds
    And 30 unsafe requests a second come at all gateways for 2 seconds
    Then each of them gets at most 11 requests in any second
    And the rest is refused with a time to come back, within 1.6 seconds
