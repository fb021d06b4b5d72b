Feature: Draining cuts nothing and takes no new work
  A host or an endpoint that leaves finishes what it has, and what is new goes
  elsewhere.

  Background:
    Given a shared "herd" fleet with short limits, 3 hosts, 2 engines and 1 workers

  Scenario: An operator drains a host and puts it back
    Given "herders-north" reads "drained" of 400 tokens from entry 0
    And 20 tokens of it have come
    When the host of entry 0 is drained
    Then "buyers" is refused at entry 0 within 8 s, not run, with 2 other addresses
    And every token of "drained" has come once and in order
    And the engines started "drained" once and cancelled none
    When the host of entry 0 is drained no longer
    Then "buyers" is served at entry 0 within 5 s

  Scenario Outline: The processes of a host are stopped, <first> first
    Given "herders-north" reads "<tag>" of 350 tokens from entry 1
    And 20 tokens of it have come
    When the processes "<first>, <second>, <third>" of host 1 get SIGTERM
    Then every token of "<tag>" has come once and in order
    And the engines started "<tag>" once and cancelled none
    And all processes of host 1 end with code 0
    And they are started again

    Examples:
      | first      | second     | third      | tag   |
      | controller | scheduler  | entry      | down1 |
      | entry      | controller | scheduler  | down2 |

  Scenario: Only the controller is stopped
    Given "herders-north" reads "alone" of 350 tokens from entry 2
    And 20 tokens of it have come
    When the processes "controller" of host 2 get SIGTERM
    Then every token of "alone" has come once and in order
    And the stopped controller of host 2 ends with code 0
    And they are started again

  Scenario Outline: An endpoint leaves <how>
    Given "herders-north" reads "<tag>" of 450 tokens from entry 0
    And 20 tokens of it have come
    When the engine that runs "<tag>" leaves <how>
    And 3 s pass
    Then of 8 new requests none starts at that engine
    And every token of "<tag>" has come once and in order
    And the engines started "<tag>" once and cancelled none
    And that engine is back in use

    Examples:
      | how                      | tag   |
      | by the host list         | list  |
      | by its own word          | word  |
      | by its declared role     | role  |

  Scenario: An engine is reclaimed at 2 s notice
    Given "herders-north" reads "reclaimed" of 2000 tokens from entry 0
    And 20 tokens of it have come
    When the engine that runs "reclaimed" leaves by its own word
    And 2 s pass
    And the engine that runs "reclaimed" is killed
    Then the stream ends with error 1404, run "ran" and the count of its tokens
    And no other engine started "reclaimed"
    And the killed engine is started again
