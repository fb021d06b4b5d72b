Feature: Endpoints and stores that misbehave
  They never end their answers, drip, or answer twice.

  Scenario Outline: A plain endpoint sends <place> without end
    Given an endpoint of the plain service that sends <place> without end
    When a caller with 20 seconds sends it a safe request
    Then the caller gets a failure within 4 seconds
    And the endpoint's connection was closed
    And the gateway took at most 40 MB for it

    Examples:
      | place                   |
      | a status line           |
      | one header              |
      | many headers            |
      | early answers           |
      | a chunk's extension     |
      | a chunk's size          |
      | trailers                |
      | a body                  |
      | a body without a length |
      | no HTTP at all          |

  Scenario Outline: An engine sends <place> without end
    Given an endpoint of the engine service that sends <place> without end
    When a caller with 20 seconds streams from it
    Then the caller gets a failure or a broken stream within 4 seconds
    And the endpoint's connection was closed
    And the gateway took at most 40 MB for it

    Examples:
      | place                   |
      | a status line           |
      | early answers           |
      | a chunk's extension     |
      | a chunk's size          |
      | trailers                |
      | a body                  |
      | a body without a length |

  Scenario: Many endless bodies at once stay within the memory for responses
    Given an endpoint of the plain service that sends a body without end
    When 12 callers with 20 seconds send it safe requests at once
    Then each of them gets a failure
    And the gateway took at most 60 MB for it

  Scenario: The store sends a list without end
    Given a site whose store sends lists without end
    Then the gateway takes at most 40 MB in 3 seconds and answers its callers

  Scenario Outline: A stalled engine that drips <what> is given up
    Given an engine that sends one event and then drips <what>
    When a caller with 19 seconds streams a route with a goal of 0.5 seconds
    Then the caller's stream breaks off after 3 to 8 seconds
    And the endpoint's connection was closed

    Examples:
      | what               |
      | comments           |
      | bytes of an event  |
      | a chunk's size     |

  Scenario: A slow engine that is sound is not given up
    Given an engine that sends 6 events with 1.9 seconds between them
    When a caller with 19 seconds streams a route with a goal of 0.5 seconds
    Then the caller gets events 1 to 6 and the end

  Scenario: The store repeats its answers late on connections in use again
    Given a site whose store sends every answer again 0.15 seconds later
    When the operator adds 3 endpoints one by one
    Then the gateway knows them all and has taken no other kind's answer
