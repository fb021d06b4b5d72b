Feature: Home regions of routes and workspaces
  A site has gateways, plain endpoints and engines in the regions north and south, and
  endpoints in a failure domain of which no region is known.

  # Guards against home regions that can't be read and then don't restrict anything.
  Scenario Outline: Home regions as the platform states them: <value>
    When a route and a workspace state the home regions <value>
    Then requests may run in "<regions>"

    Examples:
      | value              | regions       |
      | nothing            | north south ? |
      | ["north"]          | north         |
      | ["south", 7, null] | south         |
      | ["nowhere"]        |               |
      | []                 |               |
      | [""]               |               |
      | null               |               |
      | "north"            |               |
      | {"north": true}    |               |
      | true               |               |

  # Guards against a workspace that may run where a route may not, or the other way.
  Scenario Outline: Home regions of <route> and <workspace> together
    Then a route of "<route>" and a workspace of "<workspace>" may run in "<regions>"

    Examples:
      | route       | workspace | regions       |
      | any         | any       | north south ? |
      | north south | any       | north south   |
      | any         | south     | south         |
      | north south | south     | south         |
      | north       | south     |               |

  # Guards against a table of regions that ends the program, or is half taken.
  Scenario Outline: The settings' table of regions is <value>
    Given a settings file
      """
      {"host": {"regions": <value>}}
      """
    When the program "gateway" starts with it
    Then it ends with code 2 and one line that has "<line>"

    Examples:
      | value        | line                                                    |
      | ["north"]    | host.regions is ["north"]; allowed: a table of texts    |
      | {"sv-a": 3}  | host.regions is {"sv-a": 3}; allowed: a table of texts  |
      | {"sv-a": ""} | host.regions is {"sv-a": ""}; allowed: a table of texts |

  # Guards against requests that leave their home regions, at any gateway.
  Scenario Outline: Requests run in their home regions only
    Given a site of two regions
    And its routes' home regions are "<route>", its workspace's "<workspace>"
    When 10 requests of each kind come at each gateway
    Then all are served, in "<regions>"

    Examples:
      | route       | workspace | regions |
      | south       | any       | south   |
      | any         | north     | north   |
      | north south | south     | south   |

  # Guards against requests that wait, or run somewhere, although no region may run them.
  Scenario Outline: No region may run the requests: <route>, <workspace>
    Given a site of two regions
    And its routes' home regions are "<route>", its workspace's "<workspace>"
    When 2 requests of each kind come at each gateway
    Then all are refused at once as not run, with code 1612

    Examples:
      | route | workspace |
      | north | south     |
      | lake  | any       |

  # Guards against callers that all come back at the moment at which they are refused
  # again.
  Scenario Outline: The retry time of refusals is spread (<draw>)
    When the spread of retry times is drawn as <draw>
    Then refusals for evacuations and home regions state <seconds> s

    Examples:
      | draw | seconds |
      | 0    | 1       |
      | 0.5  | 1.5     |

  # Guards against an operator who can't see which routes are refused.
  Scenario: Home regions that no failure domain is in are logged
    Given a site of two regions
    And its routes' home regions are "lake", its workspace's "any"
    Then every gateway has logged that home regions are unusable

  # Guards against requests that wait for a home region without endpoints, or leave it.
  Scenario: The home region's endpoints are gone
    Given a site of two regions
    And its routes' home regions are "south", its workspace's "any"
    And the endpoints in "south" leave
    When 2 requests of each kind come at each gateway
    Then all are refused at once as not run, with code 1401

  # Guards against callers that aren't told that their home region is evacuated, and when
  # to come back.
  Scenario: The home region is evacuated
    Given a site of two regions that may be evacuated
    And its routes' home regions are "south", its workspace's "any"
    And the region "south" is evacuated
    When 2 requests of each kind come at each gateway
    Then all are refused at once as not run, with code 1401
    And refused generations are told of the evacuation

  # Guards against a stream that goes on outside of its home regions when its engine
  # breaks off.
  Scenario: The only engine of the home region breaks off
    Given a site of two regions
    And its routes' home regions are "south", its workspace's "any"
    And the engine in "south" breaks off after 5 events
    When a caller streams /check/x
    Then the caller gets less than all events, all of "south"

  # Guards against a generation that is moved out of its home regions.
  Scenario Outline: An engine of the home region is reclaimed (<more> more there)
    Given a site of two regions
    And <more> more engines in "north"
    And its routes' home regions are "north", its workspace's "any"
    When a caller streams /draft/x and the engine leaves after 10 events
    Then the caller gets events 1 to 60 and the end
    And engines of "north" alone have got its KV cache, <copies>

    Examples:
      | more | copies       |
      | 0    | none of them |
      | 1    | one of them  |

  # Guards against a request's body at a gateway of a wrong region.
  Scenario Outline: A gateway without paths passes on requests with home regions (<homes>)
    Given a site of two regions
    And its routes' home regions are "<homes>", its workspace's "any"
    And one gateway loses its paths to all endpoints, and connections are refused
    When 12 requests of each kind come at the gateway without paths
    Then it has passed on requests to gateways of "<homes>" alone

    Examples:
      | homes |
      | south |
      | north |

  # Guards against callers sent to a gateway of a wrong region.
  Scenario: The directory of a small site
    Given a site of two regions
    Then its directories list gateways of "north south" for a caller in "north"
    When its routes' home regions become "south"
    Then its directories list gateways of "north" for a caller in "north"
    And its directories list gateways of "south" for a caller in "lake"

  # Guards against a load of nothing, which other gateways would take for not told, and
  # against one that jumps with each heartbeat.
  Scenario: A gateway measures its load
    When a gateway with 0.5 of a core twice as fast uses 0 s, then 0.25 s of each second
    Then it tells a capacity of 1000 and loads from 1 to 500, after 8 s about 316

  # Guards against a gateway that divides by a share of nothing, or is taken for crowded.
  Scenario: A gateway whose share of a core isn't known
    When a gateway with 0 of a core twice as fast uses 0 s, then 0.25 s of each second
    Then it tells a capacity of 0 and loads from 0 to 0, after 8 s about 0
