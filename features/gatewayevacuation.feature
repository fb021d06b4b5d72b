Feature: The operator evacuates a failure domain
  While it is closed, its endpoints get nothing more from any gateway, whatever else
  fails; what runs there runs to its end, and its gateways go on serving callers.

  # Load: one evacuation, and its end.
  Scenario: A closed failure domain gets nothing until it is opened again
    Given a site in 2 failure domains with 4 gateways
    When the operator closes "z1"
    Then within 2 seconds nothing is sent to "z1", and all requests are served
    And the gateways of "z1" log that it is closed
    When the operator opens "z1"
    Then each endpoint of "z1" gets requests within 2 seconds

  # Load: an evacuation that is asked for twice and taken back half-way, and one more.
  Scenario: Evacuations asked for twice, taken back half-way, and two at once
    Given a site in 3 failure domains with 3 gateways
    When the operator closes "z1"
    And the operator closes "z1"
    And the operator closes "z2"
    Then within 2 seconds nothing is sent to "z1", and all requests are served
    And within 2 seconds nothing is sent to "z2", and all requests are served
    When the operator opens "z1"
    And the operator closes "z1"
    And the operator opens "z1"
    And the operator opens "z2"
    Then each endpoint of "z1" gets requests within 2 seconds
    And each endpoint of "z2" gets requests within 2 seconds

  # Load: all engines and endpoints of a service are closed.
  Scenario: What only closed endpoints could serve is refused at once
    Given a site in 2 failure domains with 2 gateways
    When the operator closes "z1"
    And the operator closes "z2"
    Then requests of each kind are refused within 0.3 seconds, as not run
    When the operator opens "z2"
    Then within 2 seconds nothing is sent to "z1", and all requests are served

  # Load: requests that wait for a busy engine when it is closed.
  Scenario: Requests that wait for a closed engine are refused at once
    Given a site in 2 failure domains with 1 gateway, all engines in "z1"
    When requests wait for busy engines and the operator closes "z1"
    Then those that wait are refused at once, and what runs there runs to its end

  # Load: requests that wait until the limit which a plain endpoint names permits them.
  Scenario: Requests that wait for their turn at a closed endpoint don't wait longer
    Given a site in 2 failure domains with 1 gateway
    When the operator closes "z2"
    And requests wait for a limit of 1 per second when the operator closes "z1"
    Then those that wait have been refused within 0.4 seconds, and have not run

  # Guards against generations that move to a closed engine, or stay at one that leaves.
  Scenario Outline: The engine of <domain> leaves while <closed> is closed
    Given a site in 2 failure domains with 1 gateway
    When a stream runs in "<domain>", "<closed>" is closed, and its engine leaves
    Then the caller gets the whole stream
    And KV caches were copied to <copied>

    Examples:
      | domain | closed | copied  |
      | z1     | z1     | "z2"    |
      | z1     | z2     | nowhere |

  # Guards against an evacuation that isn't recognised by its value.
  Scenario Outline: An entry with <what> closes like any other
    Given a site in 2 failure domains with 3 gateways
    When the operator closes "z1" with an entry of <what>
    Then within 2 seconds nothing is sent to "z1", and all requests are served
    When the last gateway is started anew
    Then from its first request on nothing is sent to "z1"
    When the operator opens "z1"
    Then each endpoint of "z1" gets requests within 2 seconds

    Examples:
      | what                  |
      | null                  |
      | a text                |
      | text that isn't UTF-8 |
      | an open quote         |

  Scenario: An evacuation of an unknown name closes nothing and is logged
    Given a site in 2 failure domains with 1 gateway
    When the operator closes "nowhere"
    Then every gateway logs that "nowhere" is unknown
    And each endpoint of "z1" gets requests within 2 seconds

  # Guards against gateways that miss an evacuation as they can't reach the store.
  Scenario Outline: <which> is cut off from the store
    Given a site in 2 failure domains with 4 gateways
    When <which> is cut off from the store, and the operator closes "z1"
    Then within 5 seconds nothing is sent to "z1", and all requests are served

    Examples:
      | which            |
      | the root         |
      | another gateway  |

  Scenario: The store is away during an evacuation
    Given a site in 2 failure domains with 2 gateways
    When the operator closes "z1"
    Then within 2 seconds nothing is sent to "z1", and all requests are served
    When the store is away for 2 seconds
    Then from its first request on nothing is sent to "z1"
    When the operator opens "z1"
    Then each endpoint of "z1" gets requests within 3 seconds

  # Guards against requests to a closed failure domain when a copy lacks its evacuation.
  Scenario: The store returns from a copy that lacks the evacuation
    Given a site in 2 failure domains with 3 gateways
    When the operator closes "z1", and the store returns from a copy that lacks it
    Then for 3 seconds nothing is sent to "z1"
    And every gateway logs that "z1" is held
    When the operator closes "z1"
    Then for 3 seconds nothing is sent to "z1"
    When the operator opens "z1"
    Then each endpoint of "z1" gets requests within 2 seconds

  Scenario: An evacuation that nobody writes again after the store's return ends
    Given a site in 2 failure domains with 2 gateways
    When the operator closes "z1", and the store returns from a copy that lacks it
    Then for 3 seconds nothing is sent to "z1"
    And each endpoint of "z1" gets requests within 5 seconds

  # Guards against gateways that rely on peers of an older build for what these don't
  # know.
  Scenario Outline: An older build is <which>
    Given a site in 2 failure domains with 4 gateways of which <which> doesn't know evacuations
    When the operator closes "z1"
    Then within 5 seconds the others send nothing to "z1"

    Examples:
      | which                      |
      | the root                   |
      | the watcher that isn't root |

  # Guards against calls to the store that nobody needs: they cost money.
  Scenario: One gateway watches the evacuations
    Given a site in 2 failure domains with 4 gateways
    Then in 8 seconds the store gets at most 4 calls for evacuations
    When the root ends
    Then in 8 seconds the store gets at most 6 calls for evacuations

  Scenario: Without the setting there is no call and no evacuation
    Given a site in 2 failure domains with 2 gateways that don't know evacuations
    When the operator closes "z1"
    Then in 2 seconds the store gets at most 0 calls for evacuations
    And each endpoint of "z1" gets requests within 2 seconds
