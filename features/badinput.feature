Feature: Bad input
  Whatever a caller sends gets a clear numbered answer, and the process keeps
  serving within its memory.

  Background:
    Given a shared "herd" fleet with low limits

  Scenario Outline: A body that can't be read
    When the body <body> is sent
    Then the answer has code <code> and run "not-run"

    Examples:
      | body                          | code |
      | that is empty                 | 1001 |
      | that is half an object        | 1001 |
      | that is a list                | 1001 |
      | with invalid UTF-8            | 1001 |
      | in UTF-16                     | 1001 |
      | with NaN                      | 1001 |
      | with a number of 5000 digits  | 1001 |
      | nested 10000 deep             | 1003 |
      | nested 10000 deep in objects  | 1003 |
      | nested 70 deep                | 1003 |
      | over the limit, declared      | 1002 |
      | over the limit, in chunks     | 1002 |
      | with too many values          | 1002 |
      | that never ends               | 1010 |
      | with negative Content-Length  | 0    |

  Scenario: Brackets in texts are no nesting
    When a chat whose text has 10000 brackets and 10000 nested quotes is streamed
    Then it is served

  Scenario: Odd types in every field
    When every field of both generation calls gets 14 odd values
    Then every answer is a numbered error or a served generation

  Scenario Outline: Headers beyond the limits
    When the headers <headers> are sent
    Then the answer has code <code> and run "not-run"

    Examples:
      | headers                         | code |
      | of 100000 bytes                 | 1012 |
      | of 300 lines                    | 1012 |
      | that never end                  | 1013 |
      | that never begin                | 1013 |
      | with a path of 100000 bytes     | 1012 |

  Scenario: Slow callers don't keep others out
    When 200 connections trickle headers and 30 trickle bodies
    Then a caller is served meanwhile within 5 s
    And all of the slow connections are closed within 10 s

  Scenario: Bodies together stay within their memory
    When 60 bodies of 1900000 bytes come at once, half of them in chunks
    Then some got code 1204 with advice when to come back and the others are served
    And another workspace's body was served meanwhile
    And the entry's memory stayed under 200000000 bytes

  Scenario: Bodies that decode to much more than their text
    When 40 bodies of 1000000 bytes of empty objects come at once
    Then each got code 1002 or 1204
    And the entry's memory stayed under 200000000 bytes

  Scenario: Callers make up kinds of work
    When 200 generations each name another kind
    Then the metrics tell at most 33 kinds apart

  Scenario: The process is the same one at the end
    Then the entry still runs under its first process id
