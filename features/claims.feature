Feature: At most once
  A call that may not be repeated runs at most once for one idempotency key,
  whatever the platform and the processes do.

  Scenario Outline: A lost answer of a claim's write is read back
    Given a platform with the write faults "<faults>"
    When one claim is taken, started and <end>
    Then the claim ended as "<state>" after <writes> writes and <reads> reads

    Examples:
      | faults                 | end      | state   | writes | reads |
      |                        | recorded | done    | 3      | 0     |
      | lose                   | recorded | done    | 3      | 1     |
      | ok lose                | recorded | done    | 3      | 1     |
      | ok ok lose             | recorded | done    | 3      | 1     |
      | drop                   | recorded | done    | 4      | 1     |
      | ok drop                | recorded | done    | 4      | 1     |
      | ok ok drop             | recorded | done    | 4      | 1     |
      | lose lose lose         | recorded | done    | 3      | 3     |
      | ok ok lose             | unknown  | unknown | 3      | 1     |
      |                        | voided   | absent  | 3      | 0     |
      | ok ok lose             | voided   | absent  | 3      | 1     |
      | ok ok drop             | voided   | absent  | 4      | 1     |

  Scenario: Of many calls with one key at once one sends, the others replay
    Given a platform with the write faults ""
    When 8 calls with one key run at once, each 0.3 s long
    Then 1 of them sent and all have the same result

  Scenario: A holder that slept loses its unsent claim and may not send
    Given a platform with the write faults ""
    When a holder sleeps after its claim and another call comes
    Then the other call may send and the holder may not

  Scenario: A create that takes effect after the call was given up blocks nobody
    Given a platform with the write faults "late hang"
    When a claim is given up and its create takes effect later
    Then a later call with the key may send

  Scenario: Claims end after their lifetime, those in progress never
    Given a platform with the write faults ""
    When claims of all states, ages and ends are swept
    Then only those whose end is a lifetime ago are gone

  Scenario: A result larger than a value leaves its digest
    Given a platform with the write faults ""
    When a result larger than the limit is recorded
    Then a repeat is told code 1505 with run "ran" and the digest

  Scenario: Two entries get one key at once
    Given a shared "herd" fleet for claims
    And the services are slow by 1.0 s
    When "clerks" posts tally "twins" with key "k-twins" at entries 0 and 1 at once
    Then every answer has status 200 and the workers ran "twins" 1 time in all
    And one of the answers is marked as replayed

  Scenario: A key is used again with another body
    Given a shared "herd" fleet for claims
    When "clerks" sends tally "one" with key "k-body" to entry 0
    And "clerks" sends tally "two" with key "k-body" to entry 1
    Then the last answer has code 1503 and run "not-run"
    And the workers ran "two" 0 times in all

  Scenario: With the platform down nothing is sent unclaimed
    Given a shared "herd" fleet for claims
    And the platform is down
    When "clerks" sends tally "dark" with key "k-dark" to entry 0
    Then the last answer has code 1502 and run "not-run"
    And it came within 3 s and says when to come back
    And "auditors" is served a check at entry 0
    When the platform is up again
    And "clerks" sends tally "dark" with key "k-dark" to entry 1 until it is served
    Then the workers ran "dark" 1 time in all

  Scenario: The platform fails after the send
    Given a shared "herd" fleet for claims
    And the services are slow by 1.0 s
    When "clerks" sends tally "late" with key "k-late" to entry 0 and the platform fails meanwhile
    Then the last answer has status 200
    When the platform is up again
    And "clerks" sends tally "late" with key "k-late" to entry 1 until it is served
    Then the workers ran "late" 1 time in all

  Scenario Outline: What a service's failure proves
    Given a shared "herd" fleet for claims
    And the services have the fault "<fault>"
    When "clerks" sends <method> "<tag>" with key "k-<tag>" to entry 0
    Then the last answer has status <first> and run "<run>"
    When the services have no fault
    And "clerks" sends <method> "<tag>" with key "k-<tag>" to entry 1
    Then the last answer has status <second> and run "<again>"
    And the workers ran "<tag>" at most 1 time in all

    Examples:
      | fault            | method | tag    | first | run     | second | again   |
      | status           | tally  | busy   | 503   | unknown | 503    | unknown |
      | truncate         | tally  | trunc  | 502   | unknown | 409    | unknown |
      | reset_after_run  | tally  | reset  | 502   | unknown | 409    | unknown |
      | reset_after_run  | animal | put    | 502   | unknown | 409    | unknown |
      | reset_before_run | animal | early  | 502   | unknown | 409    | unknown |
      | redirect         | tally  | moved  | 307   | ran     | 307    | ran     |

  Scenario: The caller goes away after the send
    Given a shared "herd" fleet for claims
    And the services are slow by 1.0 s
    When "clerks" sends tally "gone" with key "k-gone" to entry 0 and goes away
    And "clerks" sends tally "gone" with key "k-gone" to entry 1
    Then the last answer has status 200
    And the workers ran "gone" 1 time in all

  Scenario: A caller of a repeatable call goes away
    Given a shared "herd" fleet for claims
    And the services are slow by 5.0 s
    When "auditors" asks for a check at entry 0 and goes away
    Then no worker has an open call within 2 s

  Scenario: An entry is told to stop while a call runs
    Given a shared "herd" fleet for claims
    And the services are slow by 2.0 s
    When "clerks" sends tally "term" with key "k-term" to entry 2, which is told to stop
    Then the last answer has status 200
    And "clerks" sends tally "term" with key "k-term" to entry 1
    And the last answer has status 200
    And the workers ran "term" 1 time in all

  Scenario: An entry dies after the send
    Given a shared "herd" fleet for claims
    And the services are slow by 2.0 s
    And calls have a deadline of 3 s
    When "clerks" sends tally "dead" with key "k-dead" to entry 2, which is killed meanwhile
    And calls have a deadline of 12 s
    And "clerks" sends tally "dead" with key "k-dead" to entry 0
    Then the last answer has code 1504 and run "unknown"
    And the workers ran "dead" 1 time in all

  Scenario: An entry dies between the claim and the send
    Given a shared "herd" fleet for claims
    And the platform treats the next claim writes with "ok hang"
    When "clerks" sends tally "unsent" with key "k-unsent" to entry 2, which is killed meanwhile
    And "clerks" sends tally "unsent" with key "k-unsent" to entry 0
    Then the last answer has status 200
    And the workers ran "unsent" 1 time in all

  Scenario: A paused entry wakes after its claim was taken over
    Given a shared "herd" fleet for claims
    And the platform treats the next claim writes with "ok slow"
    When "clerks" sends tally "woken" with key "k-woken" to entry 2, which is paused meanwhile
    And "clerks" sends tally "woken" with key "k-woken" to entry 0
    And the paused entry wakes
    Then nobody was told "not-run" and the workers ran "woken" 1 time in all

  # Guards against a request that runs again because a returned store lost its claim.
  Scenario Outline: A request whose claim is lost by a copy isn't sent again (<state>)
    Given a platform with the write faults ""
    When the store returns from a copy without a claim that is <state>
    Then no other call with the key is allowed to send
    And later calls with the key end as <outcome>

    Examples:
      | state    | outcome        |
      | sending  | in progress    |
      | recorded | recorded       |
      | outdated | in progress    |
