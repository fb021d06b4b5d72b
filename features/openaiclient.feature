Feature: The openai client for Python, unmodified
  Only base_url and api_key are set; the client retries nothing by itself, since
  each error says x-should-retry: false.

  Background:
    Given a shared "herd" fleet of 1 hosts, 1 engines and 1 workers
    And the openai client of "buyers"

  Scenario: It lists the models of its workspace
    Then the client lists the model "rumia"

  Scenario Outline: <kind> come whole
    When the client asks for <kind> of "<tag>" with 6 tokens
    Then the text has the tokens 0 to 5 of "<tag>" and ended with "stop"
    And the usage has 6 completion tokens and adds up

    Examples:
      | kind        | tag |
      | completions | w1  |
      | chat        | w2  |

  Scenario Outline: <kind> come streamed
    When the client streams <kind> of "<tag>" with 6 tokens
    Then the text has the tokens 0 to 5 of "<tag>" and ended with "stop"

    Examples:
      | kind        | tag |
      | completions | s1  |
      | chat        | s2  |

  Scenario Outline: Usage of streamed <kind> comes last and only when asked for
    When the client streams <kind> of "<tag>" with 6 tokens and stream_options={"include_usage": true}
    Then the text has the tokens 0 to 5 of "<tag>" and ended with "stop"
    And the last chunk has no choices and usage of 6 completion tokens
    And no other chunk has usage
    When the client streams <kind> of "<tag>-without" with 6 tokens
    Then no chunk has usage or no choices

    Examples:
      | kind        | tag |
      | completions | u1  |
      | chat        | u2  |

  Scenario Outline: max_tokens and stop end a generation early
    When the client streams <kind> of "<tag>" with 9 tokens and <option>
    Then the text has the tokens 0 to <last> of "<tag>" and ended with "<finish>"

    Examples:
      | kind        | tag | option                    | last | finish |
      | completions | m1  | max_tokens=3              | 2    | length |
      | chat        | m2  | max_completion_tokens=4   | 3    | length |
      | completions | m3  | stop=":5"                 | 4    | stop   |
      | chat        | m4  | stop=["nosuch", ":2"]     | 1    | stop   |

  Scenario Outline: Errors are typed: <type>
    When the client with key "<key>" asks for <body>
    Then it raises <type> with status <status>, code <code> and run "not-run"
    And one request was sent

    Examples:
      | key        | body                                             | type                | status | code |
      | wrong      | model="rumia", prompt="x"                        | AuthenticationError | 401    | 1102 |
      | key-buyers | model="nosuch", prompt="x"                       | NotFoundError       | 404    | 1005 |
      | key-buyers | model="rumia", prompt=7                          | BadRequestError     | 400    | 1004 |
      | key-buyers | model="rumia", prompt="x", max_tokens=-1         | BadRequestError     | 400    | 1004 |
      | key-buyers | model="rumia", prompt="x", n=2                   | BadRequestError     | 400    | 1004 |
      | key-buyers | model="rumia", prompt="x", stop=["a"]*5          | BadRequestError     | 400    | 1004 |
      | key-buyers | model="rumia", prompt="x", stop=[7]              | BadRequestError     | 400    | 1004 |
      | key-buyers | model="rumia", prompt="x", extra_body={"stream": "yes"} | BadRequestError | 400  | 1004 |
      | key-buyers | model="rumia", prompt="x", stream_options={}     | BadRequestError     | 400    | 1004 |
      | key-buyers | model="rumia", prompt="x", extra_headers={"x-baobabturn-deadline": "soon"} | BadRequestError | 400 | 1007 |

  Scenario: A refusal for a limit is a RateLimitError with its time to come back
    When a failure of a workspace's request limit is answered to the client
    Then it raises RateLimitError with status 429, code 1202 and run "not-run"
    And the error's response has the header "retry-after" of "2"

  Scenario: Its own time-out leaves no generation open
    When the client with a time-out of 0.3 s asks for "slow" with 2000 tokens
    Then it raises APITimeoutError by itself
    And the engine soon has no open generation

  Scenario: Leaving a stream leaves no generation open
    When the client reads 3 tokens of a stream of "left" with 2000 tokens and closes it
    Then the engine soon has no open generation

  Scenario: An error in the middle of a stream is raised with its code
    Given the engine cuts its streams after 3 tokens
    When the client streams completions of "cut" with 9 tokens
    Then it raises APIError with code 1404 and run "ran" after 3 tokens
