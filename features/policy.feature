Feature: Which request is next and which endpoint takes it
  The scheduler admits by the chance that an engine's memory overflows.

  Scenario: Work whose growth may overflow the memory waits in the scheduler
    Given a pool of 1 engine with 1500 tokens of memory
    And "summary" answers are known to be of about 400 tokens, "read" of about 10
    When 6 requests of "summary" come
    Then between 1 and 4 of them are placed and the others wait

  Scenario: Short work finds room beside waiting long work
    Given a pool of 1 engine with 1500 tokens of memory
    And "summary" answers are known to be of about 400 tokens, "read" of about 10
    When 6 requests of "summary" come
    And 1 request of "read" comes
    Then the last request is placed
    And the engine is told to prefer "read" to "summary"

  # Guards against callers that get the room of urgent requests by a low estimate.
  Scenario: A low estimate of the output makes no request urgent
    Given a pool of 1 engine with 1500 tokens of memory
    And "summary" answers are known to be of about 400 tokens, "read" of about 10
    When 6 requests of "summary" come
    And 1 request of "summary" comes with an estimate of 8
    Then the last request isn't urgent

  Scenario: All counts return to zero when everything has ended
    Given a pool of 2 engines with 4000 tokens of memory
    And "summary" answers are known to be of about 400 tokens, "read" of about 10
    When 20 requests of "summary" come
    And 20 requests of "read" come
    And all of them progress and end as they get places
    Then nothing waits and the engines' counts are zero

  Scenario: A shared beginning draws requests to one engine until it fills
    Given a pool of 3 engines with 4000 tokens of memory
    And "summary" answers are known to be of about 400 tokens, "read" of about 10
    When 2 requests of "read" with a shared beginning come
    Then the requests are at 1 engine
    When 60 requests of "read" with a shared beginning come
    Then the requests are at 3 engines

  Scenario: What can no longer end in time goes last
    Given a pool of 1 engine with 1500 tokens of memory
    And "summary" answers are known to be of about 400 tokens, "read" of about 10
    When 6 requests of "summary" come
    And 1 request of "summary" with 2 seconds left comes first of all
    And one that was placed ends
    Then the request with 2 seconds left still waits

  Scenario: A leaving engine gets nothing
    Given a pool of 2 engines with 4000 tokens of memory
    When the first engine is leaving
    And 8 requests of "read" come
    Then the requests are at 1 engine

  # Guards against requests that wait for closed engines of their home regions.
  Scenario: All engines of the failure domains that a request needs are closed
    Given a pool of 2 engines with 4000 tokens of memory
    When the engine "e0" is in "z0" and closed, and "e1" is in "z1"
    Then only closed engines could serve requests that need "z0"
    And open engines could serve requests that need "z1", "z0 z1" or no failure domain

  # Guards against a reserve at engines that can't serve urgent requests.
  Scenario Outline: The engine with the first room for urgent requests is <state>
    Given a pool of 4 engines with 25000 tokens of memory
    And urgent requests take 8000 tokens each
    When the engine with a full reserve becomes <state> after 11 seconds
    Then one other engine has a full reserve

    Examples:
      | state   |
      | closed  |
      | leaving |

  Scenario: Prompts that other entries have sent are counted while they are read
    Given a pool of 2 engines with 30000 tokens of memory
    And "summary" answers are known to be of about 400 tokens, "read" of about 10
    And another entry runs 9000 tokens at the engine "e0"
    When another entry has sent a prompt of 3000 tokens to the engine "e1"
    And 1 request of "summary" comes
    Then the last request is at "e0"
    When that prompt is read
    And 1 request of "summary" comes
    Then the last request is at "e1"

  Scenario: Requests come in at many entries at the same instant
    Given 12 entries that know 6 free engines and nothing of each other yet
    When each entry gets 1 request
    Then no engine is chosen by more than 6 of them
