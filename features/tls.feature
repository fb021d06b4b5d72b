Feature: TLS
  Links between processes and callers' connections use TLS where the settings
  name certificates; a peer whose certificate is of another authority is refused.

  Scenario: Two processes with certificates of one authority
    Given certificates of authority "own" and of authority "strange"
    When a client with a certificate of "own" opens a link to a server of "own"
    Then the link is served

  Scenario: A client with a certificate of another authority
    Given certificates of authority "own" and of authority "strange"
    When a client with a certificate of "strange" opens a link to a server of "own"
    Then the link is refused with code 1901

  Scenario: A client that speaks no TLS
    Given certificates of authority "own" and of authority "strange"
    When a client without a certificate opens a link to a server of "own"
    Then the link is refused with code 1904

  Scenario: A server that speaks no TLS
    Given certificates of authority "own" and of authority "strange"
    When a client with a certificate of "own" opens a link to a server without one
    Then the link is refused with code 1901

  Scenario: A client that never finishes its handshake holds nobody up
    Given certificates of authority "own" and of authority "strange"
    When 50 connections to a server of "own" send nothing
    Then they are closed within 5 s and a true client is served meanwhile

  Scenario: Callers meet an entry over TLS
    Given certificates of authority "own" and of authority "strange"
    When an entry runs with a certificate of "own"
    Then a caller that trusts "own" is answered over HTTPS
    And a caller that trusts "strange" refuses the entry
    And a caller without TLS gets no answer
