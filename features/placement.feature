Feature: Placement by expected completion
  Work goes where it ends earliest, by the speeds that all gateways' reservations show.

  Scenario: Engines at 0.7, 0.7 and 1.7 times the usual time under steady load
    Given 9 engines at 0.7, 0.7 and 1.7 times the usual time
    When 4.4 reports and 4.9 checks a second come for 40 s, on the seeds 1 to 3
    Then the engines at 1.7 get between 1 and 15 % of the requests on each seed
    And the mean time to the end is at least 10 % below that without learned speeds
    And no engine is a straggler

  Scenario: The same engines with twice the load, which the fast ones alone can't take
    Given 9 engines at 0.7, 0.7 and 1.7 times the usual time
    When 8.8 reports and 9.8 checks a second come for 30 s, on the seeds 1 to 2
    Then the engines at 1.7 get between 4 and 20 % of the requests on each seed
    And the mean time to the end is at least 3 % below that without learned speeds

  Scenario: Engines that are 2.5 times slower for 2 s get less, and then their share again
    Given 12 equal engines, the first 4 of them 2.5 times slower from 15 s to 17 s
    When 11.8 reports and 13 checks a second come for 30 s, on the seeds 1 to 4
    Then the first 4 get less than 3/4 of an even share from 15.5 s to 18 s
    And fewer requests there than without learned speeds
    And the first 4 get more than 3/4 of an even share from 21 s to 30 s

  Scenario: Equal engines under steady load are chosen as without learned speeds
    Given 9 equal engines
    When 8.8 reports and 9.8 checks a second come for 30 s, on the seeds 1 to 2
    Then each request is at the engine that is chosen without learned speeds
    And no engine is a straggler

  Scenario: The wait of a generation that continues from a copied cache is no slowness
    Given 3 engines whose other generations take 10 ms for a token
    When a generation is moved to "e0" and goes on there after 3 s at 10 ms for a token
    Then no engine is slower than the others

  Scenario: The silence before a generation was cut is no slowness
    Given 3 engines whose other generations take 10 ms for a token
    When a generation at "e0" is cut after 100 tokens and 8 s of silence
    Then no engine is slower than the others

  Scenario: A generation that is cut shows a slow engine until then
    Given 3 engines whose other generations take 10 ms for a token
    When a generation at "e0" is cut after 100 tokens and 3 s of silence
    Then "e0" is slower than the others

  Scenario: An engine that is far behind with a first token is slower at once
    Given 3 engines whose other generations take 10 ms for a token
    When the first token of a prompt at "e0" hasn't come after 3 s
    Then "e0" is slower than the others

  Scenario: The failure domain decides between engines of equal cost, and no more
    Given 2 equal engines, the second in another failure domain
    When 1 prompt is sent to the first one for each of 400 choices
    Then all choices are the second one
    When no prompt is sent for each of 400 choices
    Then between 55 and 80 % of the choices are the first one

  Scenario: A large workspace spread over 63 gateways waits as one behind a small one
    Given an engine that 62 peers have filled with one request each of "large"
    When a request of "large" comes, and then one of "small"
    And a request of a peer ends
    Then the request of "small" is placed first

  Scenario: The limit of a workspace counts its requests at 62 other gateways
    Given an engine that 62 peers have filled with one request each of "large"
    Then "large" is refused at a limit of 62 requests, and "small" is not

  Scenario: A burst of long requests while urgent short ones arrive
    Given 12 equal engines
    When 6 reports and 9.6 checks a second come for 15 s, on the seeds 1 to 2
    And then 48 reports and 9.6 checks a second for 6 s
    Then at least 100 reports and no checks are refused
    And the first event of each check comes within 1.5 s

  Scenario: Long work uses what urgent work has not needed for some seconds
    Given 12 equal engines
    When 18 reports and 3.6 checks a second come for 40 s, on the seeds 1 to 2
    Then more reports end than with a reserve that doesn't follow the need
    And at least 100 reports and no checks are refused

  Scenario: The reserve is there again at once when urgent work comes, and for some seconds
    Given a reserve of up to 10 % for 4 engines of 25000 tokens, 2500 for each request
    When urgent work has used 0 tokens for 30 s
    Then 1 engine has a full reserve
    When urgent work has used 7500 tokens for 0.2 s
    Then 3 engines have a full reserve
    When urgent work has used 0 tokens for 9 s
    Then 3 engines have a full reserve
    When urgent work has used 0 tokens for 2 s
    Then 1 engine has a full reserve

  Scenario Outline: Urgent is what is short or declared so, and never what is declared less
    Given recent requests with the priorities <priorities>
    Then one of priority <priority> that is <length> is <urgency>

    Examples:
      | priorities   | priority | length | urgency    |
      | 0 0 0        | 0        | short  | urgent     |
      | 0 0 0        | 0        | long   | not urgent |
      | 0 0 -2       | 0        | long   | urgent     |
      | 0 0 -2       | -2       | long   | not urgent |
      | 0 0 -2       | -2       | short  | urgent     |
      | -9 and 30 x 0 | 0       | long   | not urgent |
      | -9 and 30 x 0 | -9      | short  | not urgent |

  Scenario: 200 callers that are refused for capacity at once don't come back at once
    When 200 callers are refused because their time to wait has passed
    Then they come back between 0.5 and 1 s later, at most 20 in any 25 ms

  Scenario: Plain endpoints at 0.7, 0.7 and 1.7, two requests a second from one process
    Given plain endpoints that take 30, 30 and 75 ms
    When 100 requests come, one each 500 ms
    Then the third plain endpoint gets between 2 and 15 of them

  Scenario: An answer that is outstanding for longer than usual shows a slow endpoint
    Given plain endpoints that take 30, 80 and 80 ms, all measured a moment ago
    When a request at the first one is outstanding for 20 ms
    Then the next request goes to the first one
    When it is outstanding for 40 ms more
    Then the next request goes to another one
    When a later request at the first one has ended in 30 ms
    Then the next request goes to the first one

  # Guards against memory that grows with each endpoint that is replaced.
  Scenario: Endpoints that are gone for minutes are forgotten
    Given plain endpoints that take 30, 80 and 80 ms, all measured a moment ago
    And 50 others that are gone, one of them with a request outstanding
    When requests come for 200 s
    Then 53 endpoints are remembered
    When requests come for 500 s
    Then 4 endpoints are remembered

  Scenario: A slow last answer sends the next requests elsewhere, for some seconds
    Given plain endpoints that take 30, 30 and 30 ms
    When 20 requests come, one each 500 ms
    And the first one takes 200 ms for a request
    Then the next 10 requests, one each 200 ms, go elsewhere
    And the first one is tried again within 30 s
