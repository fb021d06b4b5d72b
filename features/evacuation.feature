Feature: Which failure domains are closed
  The decisions on evacuations, without a network and with given times.

  # Load: the operator evacuates one or two failure domains, and asks for one twice.
  Scenario: Each entry closes its failure domain until it is removed
    Given evacuations that are held for 5 seconds over a return of the store
    When at 1 s the list of era 1 names "z1"
    And at 2 s the entry "z1" is written
    And at 3 s the entry "z2" is written
    Then at 3 s "z1,z2" are closed
    When at 4 s the entry "z1" is removed
    Then at 4 s "z2" are closed

  # Guards against an evacuation that ends because a copy of the store lacks it.
  Scenario: An entry that a return of the store loses is held for a time
    Given evacuations that are held for 5 seconds over a return of the store
    When at 1 s the list of era 1 names "z1"
    And at 2 s the list of era 2 names ""
    Then at 6 s "z1" are closed
    And at 8 s "" are closed

  # Guards against a held entry that outlives its removal by the operator.
  Scenario: An entry that is written again after the return ends with its removal
    Given evacuations that are held for 5 seconds over a return of the store
    When at 1 s the list of era 1 names "z1"
    And at 2 s the list of era 2 names ""
    And at 3 s the entry "z1" is written
    Then at 9 s "z1" are closed
    When at 10 s the entry "z1" is removed
    Then at 10 s "" are closed

  # Guards against a lost update that keeps a failure domain closed: within an era a list
  # is complete.
  Scenario: An entry that is missing from a list of the same era isn't held
    Given evacuations that are held for 5 seconds over a return of the store
    When at 1 s the list of era 1 names "z1"
    And at 2 s the list of era 1 names ""
    Then at 2 s "" are closed

  # Guards against a paused gateway that sends to a failure domain which was closed
  # while it was paused.
  Scenario: After a long pause requests wait until the list is confirmed
    Given a watch of evacuations whose process was paused for 4 of 5 seconds
    When a request is about to be sent, and the list is confirmed after 0.2 seconds
    Then the request has waited for that, and the next one doesn't wait

  # Guards against a gateway that serves nobody after a pause while the store is away.
  Scenario: Without a confirmation requests wait for a second at most
    Given a watch of evacuations whose process was paused for 4 of 5 seconds
    When a request is about to be sent, and nobody confirms the list
    Then the request has waited for at most 1.5 seconds, which is logged

  # Guards against lists of a kind that only some gateways know: those of an older build
  # confirm the other kinds alone.
  Scenario Outline: A kind that nobody confirms is watched here
    Given a gateway that relies on others for two kinds, one watched for 4 seconds
    When for <seconds> seconds others confirm <kinds>, as of <age> seconds before
    Then the gateway watches <watched> itself

    Examples:
      | seconds | kinds           | age | watched         |
      | 3       | things          | 0   | evacuations     |
      | 3       | both kinds      | 0   | neither kind    |
      | 3       | evacuations     | 5   | things          |
      | 3       | evacuations     | 9   | both kinds      |
