Feature: One exchange of reservations between failure domains
  No network and a clock of its own: each change goes once to each other failure domain,
  and all gateways know all reservations as if it had gone to each of them.

  # Guards against changes that get lost or are undone on the way through a forwarder.
  Scenario Outline: All gateways know all reservations (<size>)
    Given a fleet of <size> gateways in 3 failure domains
    When the fleet runs for 7 seconds
    And every gateway makes, advances and releases reservations at random
    And 0.01 seconds pass
    Then all gateways know exactly the reservations that the others hold

    Examples:
      | size |
      | 18   |
      | 20   |
      | 63   |

  # Guards against a sender that sends a change to each gateway of another domain.
  Scenario: A change goes once to each other failure domain
    Given a fleet of 63 gateways in 3 failure domains
    When the fleet runs for 7 seconds
    And the gateway 1 makes, advances and releases a reservation
    Then 6 datagrams with changes went to other failure domains, of at most 300 bytes
    And the forwarders sent each change to the 20 others of their domain
    And the metrics count these datagrams

  Scenario: The work of forwarding is spread over a domain
    Given a fleet of 63 gateways in 3 failure domains
    When the fleet runs for 7 seconds
    Then the gateways of "z1" use 12 forwarders or more in "z2"

  Scenario: What several gateways send within a moment is forwarded in one datagram
    Given a fleet of 63 gateways in 3 failure domains
    When the fleet runs for 7 seconds
    And all gateways of "z1" make a reservation within a moment
    Then no forwarder sent more than one datagram to any gateway
    And all gateways know exactly the reservations that the others hold

  Scenario Outline: A small fleet exchanges changes as before (<size>)
    Given a fleet of <size> gateways in <domains> failure domains
    When the fleet runs for 7 seconds
    And the gateway 1 makes, advances and releases a reservation
    Then each gateway near it got 3 datagrams with its state, and none was forwarded

    Examples:
      | size | domains |
      | 9    | 3       |
      | 17   | 3       |
      | 145  | 5       |

  # Guards against a mixed fleet in which a part of a domain hears nothing.
  Scenario Outline: Gateways of an earlier release are among them (<old>)
    Given a fleet of 21 gateways in 3 failure domains
    And its gateways <old> are of an earlier release
    When the fleet runs for 7 seconds
    And every gateway makes, advances and releases reservations at random
    And 0.01 seconds pass
    Then all gateways know exactly the reservations that the others hold
    And no gateway of an earlier release was sent a message that it doesn't know

    Examples:
      | old           |
      | 1             |
      | 1, 4, 7, 10   |
      | 2, 5, 8, 11, 14, 17, 20 |
      | 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19 |

  # Guards against knowledge that stays wrong after datagrams were lost.
  Scenario: A tenth of all datagrams gets lost
    Given a fleet of 63 gateways in 3 failure domains
    When the fleet runs for 7 seconds
    And a tenth of all datagrams gets lost
    And every gateway makes, advances and releases reservations at random
    And no datagram gets lost any more
    And the fleet runs for 7 seconds
    Then all gateways know exactly the reservations that the others hold

  # Guards against monitors, which get every heartbeat, but never got a whole state.
  Scenario: A monitor misses a release
    Given a fleet of 63 gateways in 3 failure domains
    When the fleet runs for 7 seconds
    And the gateway 1 makes a reservation
    And 0.01 seconds pass
    And the gateway 1 releases it while its monitors hear nothing
    And the fleet runs for 7 seconds
    Then no gateway near it holds a reservation of it

  # Guards against a domain that learns nothing while its forwarder can't forward.
  Scenario Outline: A forwarder <fails> and the sender turns to another one
    Given a fleet of 63 gateways in 3 failure domains
    When the fleet runs for 7 seconds
    And the forwarder of the gateway 1 in "z2" <fails>
    And the gateway 1 makes a reservation
    And the fleet runs for 1.6 seconds
    Then all gateways of "z2" that hear it hold the reservation
    And the gateway 1 uses another forwarder in "z2"

    Examples:
      | fails         |
      | dies          |
      | is cut off    |

  Scenario: A forwarder that leaves isn't chosen any more
    Given a fleet of 63 gateways in 3 failure domains
    When the fleet runs for 7 seconds
    And the forwarder of the gateway 1 in "z2" leaves
    Then the gateway 1 uses another forwarder in "z2"
    When the gateway 1 makes a reservation
    And 0.01 seconds pass
    Then all gateways of "z2" that hear it hold the reservation

  Scenario: No gateway of a domain serves, and one of them forwards all the same
    Given a fleet of 63 gateways in 3 failure domains
    When the fleet runs for 7 seconds
    And no gateway of "z2" serves
    And the gateway 1 makes a reservation
    And 0.01 seconds pass
    Then all gateways of "z2" that hear it hold the reservation

  Scenario: A forwarder is replaced by a new process
    Given a fleet of 63 gateways in 3 failure domains
    When the fleet runs for 7 seconds
    And the forwarder of the gateway 1 in "z2" is restarted
    And the gateway 1 makes a reservation
    And 0.01 seconds pass
    Then all gateways of "z2" that hear it hold the reservation

  # Guards against timers that run only on a clock of a test.
  Scenario: A change on the way through a running event loop
    Given a fleet of 63 gateways in 3 failure domains
    When the fleet runs for 7 seconds
    And the gateway 1 makes a reservation in a running event loop
    Then all gateways of "z2" that hear it hold the reservation
    And the gateway 1 awaits no confirmation

  # Guards against reservations of a process that has ended.
  Scenario: Changes of an earlier incarnation are still on their way
    Given a fleet of 63 gateways in 3 failure domains
    When the fleet runs for 7 seconds
    And the gateway 1 makes a reservation, and its forwarders hold that back
    And the gateway 1 is restarted
    And the forwarders send what they held back
    Then no gateway of another domain holds a reservation of it

  Scenario: Changes of a new incarnation come before its first state
    Given a fleet of 63 gateways in 3 failure domains
    When the fleet runs for 7 seconds
    And the gateway 1 is restarted, and its changes overtake its first state
    Then all gateways know exactly the reservations that the others hold

  # Guards against a dead gateway that forwarded messages keep alive.
  Scenario: Changes of a gateway are forwarded after its death
    Given a fleet of 63 gateways in 3 failure domains
    When the fleet runs for 7 seconds
    And the gateway 1 dies while its changes are forwarded for 5 seconds
    Then no gateway near it takes it for alive
    And no gateway near it holds a reservation of it

  Scenario: A paused sender has nothing to send again when it wakes
    Given a fleet of 63 gateways in 3 failure domains
    When the fleet runs for 7 seconds
    And the gateway 1 makes a reservation
    And the gateway 1 is paused for 5 seconds and wakes
    And the fleet runs for 7 seconds
    Then the gateway 1 avoids no forwarder
    And all gateways know exactly the reservations that the others hold

  # Guards against datagrams that a network doesn't carry.
  Scenario: A gateway holds more reservations than fit into a datagram
    Given a fleet of 20 gateways in 3 failure domains
    When the fleet runs for 7 seconds
    And the gateway 1 makes 900 reservations at once
    And 0.01 seconds pass
    Then no datagram of the exchange was larger than 48000 bytes
    And the other domains know 900 reservations of the gateway 1

  # Guards against a reservation that stays, or is lost, since messages overtook others.
  Scenario Outline: A gateway's messages come in every order (<messages>)
    Given the messages <messages> of one gateway
    Then every order of them, also with repeats, leaves the <held> with the progress <produced>

    Examples:
      | messages                                 | held        | produced |
      | made a, progress a 3                     | a           | 3        |
      | made a, progress a 3, end a              | nothing     | 0        |
      | made a, full, end a                      | nothing     | 0        |
      | full, made a, progress a 3               | a           | 3        |
      | full, made a, progress a 3, end a        | nothing     | 0        |
      | made a, full, progress a 3, end a        | nothing     | 0        |
      | made a, progress a 3, full, end a        | nothing     | 0        |
      | made a, progress a 3, end a, full        | nothing     | 0        |
      | made a, full, progress a 3, full         | a           | 3        |
      | made a, full, made b, end a, progress b 2 | b          | 2        |
      | made a, end a, full, made b, full        | b           | 0        |
      | full, made a, full, end a, made b, progress b 5 | b    | 5        |

  # Guards against memory that grows with what others say.
  Scenario: What is kept of other gateways' past is bounded
    Given a gateway that ends 20000 reservations without a full state
    Then 4096 of their names are kept
    And none after its next full state

  # Guards against a watcher of another domain that all gateways ask at all times.
  Scenario: Confirmations between domains only where one is late
    Given a fleet of 63 gateways in 3 failure domains
    When the fleet runs for 7 seconds
    Then a gateway that was just confirmed asks its own domain alone
    And one that wasn't asks another domain too
