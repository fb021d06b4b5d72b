Feature: Load reports of engines
  A controller polls the engines of the pools that its scheduler owns.

  # Guards against an engine that is never polled again after one malformed answer.
  Scenario Outline: An engine whose <call> is malformed once is polled again
    Given a poller of an engine whose first <call> can't be read
    Then reports of the engine soon come
    And no report comes after the engine is left to others

    Examples:
      | call         |
      | load report  |
      | cache events |

  # Guards against engines that nobody polls since a change of the members went to a
  # subscriber first: requests for them are never granted.
  Scenario: The only scheduler starts again
    Given a fleet of one host, one engine and one worker
    And its pools are settled and their engines serve
    When the only scheduler is killed and started anew
    Then its pools are settled and their engines serve
