Feature: Requests pass through a gateway
  The store, the endpoints and the callers are stand-ins that speak the
  platform's published protocol byte by byte.

  Scenario: A plain request reaches an endpoint unchanged
    Given a site with 1 plain endpoints
    When a caller posts "/post/a%2Fb?x=1&y=%20" with forged headers
    Then the answer is 200, signed and whole
    And the endpoint got the same method, target and body
    And the endpoint got the workspace, its own name and less time than the caller has
    And the endpoint got neither the key nor a forged header

  Scenario Outline: A request without the right to pass is refused (<case>)
    Given a site with 1 plain endpoints
    When a caller sends <path> with the key "<key>"
    Then the answer is <status> and nothing has run

    Examples:
      | case          | path      | key            | status |
      | no such route | /none/x   | key-of-herders | 404    |
      | no key        | /read/x   |                | 401    |
      | a wrong key   | /read/x   | key-of-nobody  | 401    |

  Scenario: A route that needs no key is served without one
    Given a site with 1 plain endpoints
    When a caller sends /open/x with the key ""
    Then the answer is 200, signed and whole

  Scenario: A body over the limit is refused
    Given a site with 1 plain endpoints
    When a caller posts 70000 bytes to "/post/x"
    Then the answer is 413 and nothing has run

  Scenario Outline: What an endpoint does to <kind> requests: <fault>
    Given a site with 2 plain endpoints
    And the first endpoint to be asked answers with: <fault>
    When a caller sends a <kind> request
    Then the answer is <status>
    And <count> endpoints were asked

    Examples:
      | fault                 | kind   | status | count |
      | a refusal             | safe   | 200    | 2     |
      | a refusal             | unsafe | 200    | 2     |
      | another endpoint here | safe   | 200    | 2     |
      | another endpoint here | unsafe | 200    | 2     |
      | a reset               | safe   | 200    | 2     |
      | a reset               | unsafe | 502    | 1     |
      | half a body           | safe   | 200    | 2     |
      | half a body           | unsafe | 502    | 1     |
      | no length             | safe   | 200    | 1     |
      | no length             | unsafe | 200    | 1     |
      | no length and a reset | safe   | 200    | 2     |
      | no length and a reset | unsafe | 502    | 1     |
      | another's answer      | safe   | 200    | 2     |
      | another's answer      | unsafe | 502    | 1     |
      | another's refusal     | safe   | 200    | 2     |
      | another's refusal     | unsafe | 502    | 1     |
      | no signature          | safe   | 200    | 2     |
      | no signature          | unsafe | 502    | 1     |
      | an encoding           | safe   | 200    | 2     |
      | an encoding           | unsafe | 502    | 1     |
      | more bytes            | safe   | 200    | 1     |
      | more bytes            | unsafe | 200    | 1     |
      | no HTTP               | safe   | 200    | 2     |
      | no HTTP               | unsafe | 502    | 1     |
      | its own error         | safe   | 200    | 2     |
      | its own error         | unsafe | 500    | 1     |

  Scenario: An endpoint that can't be reached has run nothing
    Given a site with 1 plain endpoints
    And the endpoints' listeners are closed
    When a caller sends a unsafe request
    Then the answer is 503 with a time to come back

  Scenario: Repeats stay within the budget when every endpoint fails
    Given a site with 3 plain endpoints
    And every endpoint answers with: its own error
    When a caller sends 40 safe requests
    Then at most 15 of the arrivals are repeats

  Scenario: A caller that leaves ends its generation
    Given a site with 1 engines of 400 events
    When a caller leaves a stream after 3 events
    Then the engine ends that run within 0.5 seconds

  Scenario: A stream passes whole
    Given a site with 1 engines of 20 events
    When a caller streams /draft/x
    Then the caller gets events 1 to 20 and the end

  Scenario: An engine that breaks off cuts a stream that can't be resumed
    Given a site with 2 engines of 20 events
    And the first engine to be asked breaks off after 5 events
    When a caller streams /draft/x
    Then the caller gets events 1 to 5 and no end
    And 1 engines ran the request

  Scenario: An engine that breaks off is followed by another where that is allowed
    Given a site with 2 engines of 20 events
    And the first engine to be asked breaks off after 5 events
    When a caller streams /check/x
    Then the caller gets events 1 to 20 and the end
    And 2 engines ran the request

  Scenario: Drafts of an engine that is reclaimed go on elsewhere
    Given a site with 2 engines of 60 events
    When a caller streams /draft/x and the engine leaves after 10 events
    Then the caller gets events 1 to 60 and the end
    And the run was stopped at one engine and went on at the other from its memory

  Scenario: A run that can't be moved stays where it is
    Given a site with 2 engines of 60 events
    And engines refuse to move runs with 503
    When a caller streams /draft/x and the engine leaves after 10 events
    Then the caller gets events 1 to 60 and the end
    And 1 engines ran the request

  Scenario: A run that its engine doesn't know yet is asked for again
    Given a site with 2 engines of 60 events
    And engines don't know runs for 0.2 seconds
    When a caller streams /draft/x and the engine leaves after 10 events
    Then the caller gets events 1 to 60 and the end
    And the run was stopped at one engine and went on at the other from its memory

  Scenario: A caller that leaves while its run is moved leaves no place held
    Given a site with 2 engines of 400 events
    And engines take 0.5 seconds for the copy of a run that they have stopped
    When a caller streams, the engine leaves, and the caller leaves while the run is stopped
    Then no place is held after 1 second

  Scenario: A route's time is over before its endpoint answers
    Given a site with 1 plain endpoints that take 4 seconds
    When a caller sends a safe request
    Then the answer is 504 after 3 to 3.4 seconds

  Scenario: A caller that reads slowly gets all of a stream
    Given a site with 1 engines of 40 events
    When a caller streams /draft/x and reads it byte by byte with pauses
    Then the caller gets events 1 to 40 and the end

  # Guards against header values that reach endpoints in another encoding.
  Scenario Outline: A caller sends a <kind> request with headers that aren't ASCII
    Given a site with 1 plain endpoints, 1 engines and 1 gateways
    And a workspace has a name that isn't ASCII
    When a caller sends a <kind> request with a model that isn't ASCII
    Then the endpoint got the model's bytes and the workspace's name as they are

    Examples:
      | kind   |
      | safe   |
      | stream |

  # Guards against a request that runs with another value than its caller sent.
  Scenario: A header value that isn't UTF-8 is refused
    Given a site with 1 plain endpoints
    When a caller sends a safe request with a model that isn't UTF-8
    Then the answer is 400 and nothing has run

