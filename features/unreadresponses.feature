Feature: How long callers may leave responses unread, and who is disconnected first
  Times are passed in, and no network is needed.

  # Guards against responses that are held for callers which never read them.
  # Load: one caller, looked at every 0.25 seconds.
  Scenario Outline: A caller takes nothing of a <kind>
    Given a <kind> with a timeout of 10 seconds that waits for its caller
    When the caller takes nothing for <seconds> seconds
    Then the response is ended after <end> seconds with the code <code>

    Examples:
      | kind           | seconds | end | code |
      | plain response | 15      | 10  | 1613 |
      | stream         | 15      | 1.5 | 1614 |

  # Guards against slow callers that are taken for stalled ones.
  # Load: one caller that takes a little at intervals just below the timeout.
  Scenario Outline: A caller takes a <kind> slowly but steadily
    Given a <kind> with a timeout of 10 seconds that waits for its caller
    When the caller takes 100 bytes every <pause> seconds, 20 times
    Then the response isn't ended

    Examples:
      | kind           | pause |
      | plain response | 9.5   |
      | stream         | 1.25  |

  # Guards against callers that are disconnected because the gateway was paused.
  # Load: one caller, and a pause that is longer than its timeout.
  Scenario Outline: The gateway is paused while a <kind> waits
    Given a <kind> with a timeout of 10 seconds that waits for its caller
    When the caller takes nothing for <before> seconds
    And the gateway is paused for 60 seconds
    And the caller takes nothing for <after> seconds
    Then the response isn't ended
    When the caller takes nothing for <more> seconds
    Then the response has been ended

    Examples:
      | kind           | before | after | more |
      | plain response | 9.5    | 9.5   | 1    |
      | stream         | 1.25   | 1.25  | 0.5  |

  # Guards against bodies that are refused while callers that don't read hold the memory,
  # and against more callers disconnected than the memory needs.
  # Load: six responses of 4 MiB unread in 32 MiB, and bodies that wait for memory.
  Scenario: Body memory is short
    Given body memory of 32 MiB with 6 unread responses of 4 MiB, each 0.1 seconds older than the next
    When callers take nothing for 1.25 seconds
    Then no response is ended
    When a body of 12 MiB waits for memory
    Then responses 1 are ended, one after the other
    When a body of 6 MiB waits for memory
    Then responses 2 3 are ended, one after the other

  # Load: the same, with the oldest response younger than the shortest time.
  Scenario: Body memory is short and all callers have taken something lately
    Given body memory of 32 MiB with 6 unread responses of 4 MiB, each 0.1 seconds older than the next
    When a body of 12 MiB waits for memory
    Then no response is ended

  # Guards against callers disconnected for memory that wouldn't help.
  # Load: one workspace has used up its share, another one leaves responses unread.
  Scenario: A body waits for its own workspace's share
    Given body memory of 32 MiB with 2 unread responses of 4 MiB, each 0.1 seconds older than the next
    And another workspace holds 14 MiB in bodies that are being read
    When callers take nothing for 1.5 seconds
    And a body of 4 MiB of that workspace waits for memory
    Then no response is ended

  # Guards against streams that take memory ahead of requests that wait for it.
  # Load: a body waits, and a stream's buffer asks for a little.
  Scenario: Streams get no memory while a body waits for it
    Given body memory of 32 MiB with 6 unread responses of 4 MiB, each 0.1 seconds older than the next
    Then a stream's buffer gets 1000 bytes
    When a body of 12 MiB waits for memory
    Then a stream's buffer gets no 1000 bytes

  # Guards against endpoints that crash by the bodies that they hold.
  # Load: large bodies to two endpoints.
  Scenario Outline: Bodies of <sizes> MiB are in flight to an endpoint
    Given bodies of "<sizes>" MiB in flight to an endpoint
    Then a body of <size> MiB <answer> there
    And a body of 20 MiB may be sent to another endpoint
    When the first of them has ended
    Then a body of <size> MiB may be sent there

    Examples:
      | sizes | size | answer             |
      | 4 3   | 1    | may be sent        |
      | 4 3   | 1.5  | may not be sent    |
      | 8     | 0.1  | may not be sent    |
      | 20    | 20   | may not be sent    |
      | 20    | 0.05 | may be sent        |
