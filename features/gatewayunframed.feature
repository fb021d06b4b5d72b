Feature: Answers with neither a length nor chunks
  Such an answer ends with its connection, so its end alone doesn't show that it is
  whole.

  Scenario: A stream without a length passes whole
    Given a site with 1 engines whose first stream ends after its last event
    When a caller streams /draft/x
    Then the caller gets events 1 to 20 and the end

  # Guards against a broken stream that is passed on as a whole one.
  Scenario Outline: A stream without a length that ends <ending> has been broken off
    Given a site with 1 engines whose first stream ends <ending>
    When a caller streams /draft/x
    Then the caller gets <events> whole events and no end

    Examples:
      | ending                 | events |
      | inside an event        | 5      |
      | with a reset           | 5      |
      | with its engine        | 5      |
      | before its first event | 0      |

  # Guards against a stream that could go on elsewhere and isn't continued.
  Scenario Outline: A resumable one that ends <ending> goes on at another engine
    Given a site with 2 engines whose first stream ends <ending>
    When a caller streams /check/x
    Then the caller gets events 1 to 20 and the end

    Examples:
      | ending                 |
      | inside an event        |
      | with a reset           |
      | with its engine        |
      | before its first event |

  # Guards against a move that stops a stream and takes its end for that of the answer.
  Scenario: A stream without a length that its gateway moves goes on at the other engine
    Given a site with 2 engines of 60 events
    And no stream has a length
    When a caller streams /draft/x and the engine leaves after 10 events
    Then the caller gets events 1 to 60 and the end
    And the run was stopped at one engine and went on at the other from its memory

  # Guards against a stopped stream whose copy is lost and that is passed on as a whole one.
  Scenario: A stream without a length whose copy fails after it was stopped is no whole one
    Given a site with 2 engines of 60 events
    And no stream has a length
    And engines lose the copies of runs that they have stopped
    When a caller streams /draft/x and the engine leaves after 10 events
    Then the caller's stream has no end

  # Guards against a cut at the end of a stream that ended just before it was to be moved.
  Scenario: A stream without a length that ends whole before it can be moved is whole
    Given a site with 2 engines of 12 events
    And no stream has a length
    And engines know a run for the first copies alone
    When a caller streams /draft/x and the engine leaves after 10 events
    Then the caller gets events 1 to 12 and the end

  # Guards against a leaving process that ends with its streams, which then look whole.
  Scenario Outline: A stream without a length at a leaving engine, which <fate>, <has> end
    Given a site with 1 engines of 60 events
    And no stream has a length
    When a stream runs at a leaving engine, which <fate>
    Then the caller's stream <has> end

    Examples:
      | fate              | has    |
      | ends with it      | has no |
      | ends soon after it | has no |
      | has started again | has no |
      | ends after it     | has an |

  # Guards against a killed process that is back before anyone looks.
  Scenario: A stream without a length whose engine has started again is no whole one
    Given a site with 1 engines of 60 events
    And no stream has a length
    When a stream runs at an engine that has started again
    Then the caller's stream has no end

  # Guards against half of a plain answer that ends with its endpoint and looks whole.
  Scenario Outline: A plain answer without a length whose endpoint <fate> isn't whole
    Given a site with 1 plain endpoints
    And the first answer has no length, and in the middle of it the endpoint <fate>
    When a caller sends a <kind> request
    Then the answer is 502

    Examples:
      | kind   | fate                  |
      | safe   | is killed             |
      | unsafe | is killed             |
      | safe   | leaves and then ends  |
      | unsafe | leaves and then ends  |

  # Guards against an answer given up that another endpoint would have given.
  Scenario: A safe request whose answer without a length is cut short is sent once more
    Given a site with 2 plain endpoints
    And the first answer has no length, and in the middle of it the endpoint is killed
    When a caller sends a safe request
    Then the answer is 200, signed and whole

  # Guards against whole answers that count as cut while the gateway's new paths are.
  Scenario Outline: Answers without a length pass whole while <cause>
    Given a site with 1 plain endpoints, 0 engines and 3 gateways
    And answers have no length, and while they are written <cause>
    When a caller sends a safe request
    Then the answer is 200, signed and whole

    Examples:
      | cause                          |
      | the endpoint leaves            |
      | one gateway loses its new path |

  # Guards against an error's text cut short in an answer that looks whole.
  Scenario: An engine's error without a length that ends with the engine isn't whole
    Given a site with 1 engines of 10 events
    And the first answer has no length, and in the middle of it the endpoint is killed
    When a caller streams /draft/x
    Then the caller's stream has no end


  # Guards against a gateway that ends and takes its own close for the end of an answer.
  Scenario Outline: An answer without a length within which the gateway ends isn't whole
    Given a site with gateways that end 1.5 seconds after their stop, and an answer within which they do
    When a caller sends a <kind> request whose gateway stops
    Then the caller's answer isn't whole

    Examples:
      | kind   |
      | safe   |
      | unsafe |
      | stream |
