Feature: What follows from the state of an attempt
  Run state, retry and code follow from one table.

  Scenario Outline: An attempt that ended with <code> after <tokens> tokens
    Then it is "<run>", a retry of any call is <any>, of a repeatable one <repeat>
    And a generation may begin anew where its caller accepts it: <restart>

    Examples:
      | code | tokens | run     | any | repeat | restart |
      | 1402 | 0      | not-run | yes | yes    | yes     |
      | 1406 | 0      | not-run | yes | yes    | yes     |
      | 1403 | 0      | unknown | no  | yes    | yes     |
      | 1404 | 0      | unknown | no  | yes    | yes     |
      | 1405 | 0      | unknown | no  | yes    | yes     |
      | 1303 | 0      | unknown | no  | no     | no      |
      | 1404 | 7      | ran     | no  | no     | yes     |
      | 1405 | 7      | ran     | no  | no     | yes     |

  Scenario: A client's error tells what left this host
    Then a refused connection is "not-run" and a lost answer is "unknown"
    And a connect that takes too long is "not-run" and a slow answer "unknown"

  Scenario: A budget of retries
    Given a budget of one retry in ten requests
    Then an endpoint gets 3 retries at first and then one for ten requests
