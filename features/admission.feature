Feature: Admission to a pool
  Nothing is refused falsely: saturation alone queues until the deadline, and a
  refusal names the limit that is really exceeded.

  Scenario: A full pool queues a request until its deadline
    Given a full pool that admits requests
    When a request with 400 ms left asks for a place
    Then it is refused with "DEADLINE_NOT_RUN", not before 400 ms
    And it has left no trace in the queue

  Scenario: A request that waits gets the place that becomes free
    Given a full pool that admits requests
    When a request with 5000 ms left asks for a place and one becomes free
    Then it is granted a place

  Scenario: A request whose deadline has passed is refused at once
    Given a full pool that admits requests
    When a request with 0 ms left asks for a place
    Then it is refused with "DEADLINE_NOT_RUN", not before 0 ms

  Scenario: A declared limit on requests refuses, and a withdrawal frees it
    Given a full pool that admits requests, with 2 concurrent requests declared
    When 2 requests wait and a third one comes
    Then the third one is refused with "REQUEST_LIMIT"
    When those that wait are withdrawn
    Then a further request queues

  Scenario: The bound on waiting requests is named
    Given a full pool that admits requests, with room for 2 in its queue
    When 2 requests wait and a third one comes
    Then the third one is refused with "QUEUE_LIMIT"
