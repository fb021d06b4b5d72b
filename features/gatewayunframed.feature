Feature: Streams with neither a length nor chunks
  Such a stream ends with its connection, so its end alone doesn't show that it is
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
      | has started again | has no |
      | ends after it     | has an |

  # Guards against a killed process that is back before anyone looks.
  Scenario: A stream without a length whose engine has started again is no whole one
    Given a site with 1 engines of 60 events
    And no stream has a length
    When a stream runs at an engine that has started again
    Then the caller's stream has no end
