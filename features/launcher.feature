Feature: The launcher and the demo
  The development scripts start real processes and leave none behind.

  Scenario Outline: The launcher says what runs and ends all of it on a signal
    Given the launcher runs "<deployment>"
    Then its ready line names <entries> callers, model "<model>" and service "<service>"
    And it names the engines and workers of "<deployment>" with their control paths
    When the launcher gets "<signal>"
    Then it ends with code 0 and none of its processes is left

    Examples:
      | deployment | entries | model         | service     | signal  |
      | herd       | 9       | rumia         | corral      | SIGINT  |
      | alliance   | 9       | estimator-llm | booking-app | SIGTERM |

  Scenario: An unknown deployment is one line and exit code 2
    When the launcher is asked for "nowhere"
    Then it says "fleet: allowed: herd, alliance" with code 2

  Scenario: The demo ends well and says what happened
    When the demo runs
    Then it ends with code 0 within 60 s
    And it printed
      """
      ok    a season summary of 120 tokens came in order
      ok    both posts got the same answer
      ok    the tally correction ran 1 time(s)
      ok    the address answers leave alajuela-1 out
      ok    the stream was whole: 300 tokens in order
      ok    alajuela-1's entry ended after it, exit code 0
      ok    the time line shows it finished
      ok    the engines hold 0 open generations
      """

  Scenario: A statement that doesn't hold makes the demo fail
    When a demo meets a service that ran a tally correction twice
    Then that demo has the wrong statement "the tally correction ran 2 time(s)"
