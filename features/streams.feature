Feature: Each token reaches its caller once, in order, from one generation
  A stream may change its entry and its link to the engine; the generation
  stays the same one, or the caller is told.

  Background:
    Given a shared "herd" fleet whose retries never run out, 3 hosts, 2 engines and 1 workers

  Scenario: An entry dies and the caller goes on at another one
    Given "herders-north" reads "season" of 250 tokens from entry 0
    And 20 tokens of it have come
    When the entry 0 is killed
    And the caller goes on at entry 1
    Then every token of "season" has come once and in order
    And the engines started "season" once and cancelled none
    And the entry 0 is started again

  Scenario Outline: A caller goes on at <where> entry and the grace time passes
    Given "herders-north" reads "<tag>" of 250 tokens from entry 0
    And 20 tokens of it have come
    When the caller leaves
    And the caller goes on at entry <number>
    Then the pool's owner counts 1 place
    And every token of "<tag>" has come once and in order
    And the engines started "<tag>" once and cancelled none

    Examples:
      | where       | number | tag    |
      | another     | 1      | change |
      | the same    | 0      | return |

  Scenario: The old connection is still open when the caller goes on elsewhere
    Given "herders-north" reads "double" of 250 tokens from entry 0
    And 20 tokens of it have come
    When the caller goes on at entry 1 and then leaves entry 0
    Then every token of "double" has come once and in order
    And the engines started "double" once and cancelled none

  Scenario: A deadline holds for a resumed stream too
    Given "herders-north" reads "late" of 2000 tokens from entry 0
    And 20 tokens of it have come
    When the caller leaves
    And the caller goes on at entry 1 with a deadline of 1 s
    Then the stream ends with error 1302, run "ran" and the count of its tokens
    And no generation is open within 5 s

  Scenario Outline: The link to the engine <fault>
    Given every engine has the fault "<settings>"
    When "herders-north" reads "<tag>" of 60 tokens from entry 0
    Then every token of "<tag>" has come once and in order
    And the engines started "<tag>" once and cancelled none

    Examples:
      | fault                    | tag     | settings                                |
      | stalls                   | stall   | {"stall_after": 9, "faulty_links": 1}   |
      | closes                   | close   | {"cut_after": 9, "faulty_links": 2}     |
      | closes before a token    | early   | {"cut_after": 0, "faulty_links": 1}     |
      | delivers chunks twice    | twice   | {"duplicate_chunks": true}              |
      | delivers old chunks late | old     | {"late_chunks": true}                   |

  Scenario: A resumed stream has the same protection
    Given every engine has the fault "{"duplicate_chunks": true}"
    And "herders-north" reads "guarded" of 150 tokens from entry 0
    And 20 tokens of it have come
    When the caller leaves
    And every engine has the fault "{"stall_after": 60, "faulty_links": 1, "duplicate_chunks": true}"
    And the caller goes on at entry 1
    Then every token of "guarded" has come once and in order
    And the engines started "guarded" once and cancelled none

  Scenario: A generation that waits for room is not taken for a stalled one
    Given "herders-north" reads "idle" of 60 tokens from entry 0
    And 20 tokens of it have come
    When every engine has no room for 3 s
    Then every token of "idle" has come once and in order
    And comments came while it waited
    And the engines started "idle" once and cancelled none

  Scenario: A frozen engine is taken for a stalled one
    Given "herders-north" reads "frozen" of 200 tokens from entry 0
    And 20 tokens of it have come
    When every engine has the fault "{"frozen": true}"
    Then the stream ends with error 1405, run "ran" and the count of its tokens
    And no generation is open within 5 s

  Scenario: A stream with no finish marker is never passed off as whole
    Given every engine has the fault "{"no_finish": true}"
    When "herders-north" reads "endless" of 10 tokens from entry 0
    Then the stream ends with error 1404, run "ran" and the count of its tokens
    When "herders-north" asks for the whole of "endless" of 10 tokens
    Then the answer is the error 1404 and not a text

  Scenario: A reader that stops holds the engine's link up and no memory
    Given every engine has the fault "{"padding_bytes": 65536, "slow_factor": 0.1}"
    When "herders-north" opens "slow" of 800 tokens and stops to read for 4 s
    Then the entry's memory grew by less than 24 MB meanwhile
    And the engine holds bytes back for the reader
    When the reader goes on
    Then every token of "slow" has come once and in order
    And the engines started "slow" once and cancelled none

  Scenario: An engine dies before the first token
    Given every engine has the fault "{"no_room": true}"
    And "herders-north" reads "unborn" of 30 tokens from entry 0
    When the engine that runs "unborn" is killed
    And every engine has no fault
    Then every token of "unborn" has come once and in order
    And the killed engine is started again

  Scenario: An engine takes a request and doesn't answer
    Given the engine 0 has the fault "{"hang_before_headers": true}"
    When "herders-north" reads 4 streams "hung" of 5 tokens from entry 0
    Then all 4 streams are whole

  Scenario: An engine dies after the first token
    Given "herders-north" reads "cut" of 300 tokens from entry 0
    And 20 tokens of it have come
    When the engine that runs "cut" is killed
    Then the stream ends with error 1404, run "ran" and the count of its tokens
    And no other engine started "cut"
    And the killed engine is started again

  Scenario: A caller who accepts it is told that the generation begins anew
    Given "herders-north" reads "anew" of 200 tokens from entry 0 and accepts a restart
    And 20 tokens of it have come
    When the engine that runs "anew" is killed
    Then the stream has one restart event with the count of the tokens before it
    And every token of "anew" has come once and in order
    And the killed engine is started again

  Scenario: Only the workspace's own caller goes on with a stream
    Given "herders-north" reads "private" of 200 tokens from entry 0
    And 20 tokens of it have come
    When "buyers" tries to go on with it at entry 1
    Then it is refused with error 1008
    When "herders-north" tries to go on with a changed token at entry 1
    Then it is refused with error 1008

  Scenario: Resume keys are rotated by two keys
    Given a token signed with the key "old"
    Then it is valid for the keys "old", "new,old" and not for "new"
    And its event ids are shorter than 64 bytes
