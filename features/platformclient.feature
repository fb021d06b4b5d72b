Feature: The platform's client
  Calls stay within a budget, an outage is told apart from a failed call, and
  nothing rushes back when it ends.

  Scenario: An outage is seen, calls fail at once, and a cheap probe ends it
    Given a client of a platform of its own
    When the client's platform is down and 2 calls have failed
    Then the next call fails at once with a time to come back
    And the client logged "platform-down"
    When the client's platform is up again
    Then a write succeeds within 2.5 s of it
    And the client logged "platform-up"

  Scenario: One failed call is not an outage
    Given a client of a platform of its own
    When the answer to 1 write is lost
    Then a write succeeds within 0.5 s of it

  Scenario: A second copy of an answer, late, isn't taken for the next one
    Given a client of a platform that sends each answer again 0.05 s later
    When it reads 20 objects one after another with 0.06 s between them
    Then each answer was the object that was asked for

  Scenario: A call waits for its turn in the budget
    Given a client of a platform of its own that may make 5 calls at once and 50 a second
    When it makes 30 calls at once
    Then all 30 have succeeded and took longer than 0.4 s

  Scenario: Right after an outage the calls a second grow slowly
    Given a client of a platform of its own that may make 40 calls at once and 40 a second
    When the client's platform is down and 2 calls have failed
    And the client's platform is up again
    And as many calls as the client lets through are made for 2 s after it answered
    Then they were at most 40

  Scenario: After an outage the whole fleet stays within its budget
    Given a fleet of 3 hosts whose processes may make 10 calls a second each
    When its platform is down for 15 s
    Then in each of the 10 s after it the platform saw at most 60 calls
    And while it was down it saw at most 15 calls a second
    And every host has logged "platform-down" and "platform-up"

  Scenario: Slow answers are no outage
    Given a client of a platform of its own
    When the client's platform takes 1 s for each answer
    Then a write succeeds within 2 s of it
    And the client did not log "platform-down"

  # Guards against a list, watch or list of hosts that is lost over one odd item in it.
  Scenario Outline: One item of a list is <odd>, and the others are read
    Given a client of a platform whose lists have an item that is <odd>
    When it lists, finds and watches objects, and lists the hosts
    Then it gets all the other objects and hosts

    Examples:
      | odd                  |
      | in another encoding  |
      | cut off in a text    |
      | without a name       |
      | named with a number  |
      | a number             |

  # Guards against a sweep that ends at one claim which can't be read.
  Scenario: A sweep leaves a claim that can't be read, and deletes the others
    Given a client of a platform of its own
    When expired claims are swept, one of which is a text
    Then only the claim that is a text is left
