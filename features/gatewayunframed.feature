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
