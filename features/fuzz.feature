Feature: Fuzzing what comes from other processes and from engines
  Whatever bytes come, a decoder gives a value or a numbered failure.

  Scenario: Random bytes as an inner message
    When 4000 random and 4000 mutated messages are unpacked
    Then each gave a message or code 1001 or 1903

  Scenario: Random bytes on a live link
    Given a link server
    When 150 peers send garbage, mutated hellos and oversized frames
    Then the server closed each of them and serves a true peer

  Scenario: Garbage from a peer that proved the secret
    Given a link server
    When a peer that was welcomed sends 300 mutated messages
    Then the server serves a true peer

  Scenario Outline: A peer that is not authentic
    Given a link server
    When a peer <does>
    Then the server closed it within 5 s and serves a true peer

    Examples:
      | does                              |
      | has a wrong secret                |
      | replays a recorded hello          |
      | sends a frame of 5000 bytes first |
      | claims a frame of 4 gigabytes     |
      | sends nothing                     |
      | sends one byte a second           |

  Scenario: A server that does not know the secret
    Given a link server with another secret
    Then a client is refused with code 1902

  # Guards against one odd object of the store that costs more than itself.
  Scenario Outline: Odd values in <documents> of the platform's store
    When 1500 <documents> with odd values are decoded
    Then each gave a record that messages can hold, or code 1701

    Examples:
      | documents          |
      | endpoint entries   |
      | gateway records    |
      | quarantine records |
      | version records    |
      | configurations     |

  Scenario: Random bytes as an engine's stream
    When 3000 random, mutated and truncated streams are read
    Then each ended with its finish marker or with code 1404
