Feature: Summaries of reservations in place of full states between failure domains
  No network and a clock of its own: a gateway of another failure domain gets a summary
  in its turn, and asks for the full state only if what it knows differs.

  # Guards against digests of the same reservations that differ, and so against full
  # states that go to other domains all the same.
  Scenario: A fleet that loses nothing asks for nothing
    Given a fleet of 63 gateways in 3 failure domains
    When the fleet runs for 7 seconds
    And every gateway makes, advances and releases reservations at random
    And the fleet runs for 7 seconds
    Then all gateways know exactly the reservations that the others hold
    And no gateway asked for a full state
    And no full state went to another failure domain
    And gateways of the own failure domain got full states as before
    And the metrics count the summaries and what was done about them

  # Guards against summaries that grow as full states do.
  Scenario: A summary is short
    Given a fleet of 63 gateways in 3 failure domains
    When the fleet runs for 7 seconds
    And the gateway 1 makes 8 reservations with long names
    And the fleet runs for 6 seconds
    Then the gateway 1 sent summaries of at most 130 bytes to other failure domains

  # Guards against changes that stay lost: each of them has to be in the digest, and
  # progress, which isn't, in the summary.
  Scenario Outline: A change is lost behind a forwarder (<change>)
    Given a fleet of 63 gateways in 3 failure domains
    When the fleet runs for 7 seconds
    And the gateway 1 holds 2 reservations
    And the gateway 1 <change> while forwarded changes get lost
    And the fleet runs for 6 seconds
    Then all gateways know exactly the reservations that the others hold
    And <count> gateways asked the gateway 1, once each, and got a full state

    Examples:
      | change                            | count |
      | makes another one                 | 40    |
      | releases one of them              | 40    |
      | releases all of them              | 40    |
      | learns another software version   | 40    |
      | advances one of them              | 0     |

  # Guards against progress that differs for long because it isn't in the digest.
  Scenario: Progress that was never published comes with the summary
    Given a fleet of 63 gateways in 3 failure domains
    When the fleet runs for 7 seconds
    And the gateway 1 holds 2 reservations
    And the gateway 1 produces 70 tokens and publishes nothing
    And the fleet runs for 6 seconds
    Then all gateways know exactly the reservations that the others hold
    And no gateway asked for a full state

  # Guards against a wait that never ends, and one whose end depends on the timer
  # alone: the last change is new when most of the summaries come.
  Scenario: The last change is lost again and again
    Given a fleet of 63 gateways in 3 failure domains
    When the fleet runs for 7 seconds
    And reservations of the gateway 1 get lost one after another
    And the fleet runs for 6 seconds
    Then all gateways know exactly the reservations that the others hold

  # Guards against questions about what the domain's next forwarder brings anyway.
  Scenario: A forwarder dies with a change
    Given a fleet of 63 gateways in 3 failure domains
    When the fleet runs for 7 seconds
    And the gateway 1 makes a reservation, and its forwarder in "z2" dies with it
    And the fleet runs for 0.8 seconds
    And 0.01 seconds pass
    And the fleet runs for 1.2 seconds
    Then all gateways of "z2" that hear it hold the reservation
    And no gateway asked for a full state

  # Guards against questions about changes that are on their way.
  Scenario: Summaries overtake changes in transit
    Given a fleet of 63 gateways in 3 failure domains
    When the fleet runs for 7 seconds
    And the gateway 1 holds 2 reservations
    And the gateway 1 makes a reservation, and summaries overtake it
    Then gateways wait for changes
    When 0.01 seconds pass
    Then all gateways know exactly the reservations that the others hold
    When the fleet runs for 2 seconds
    Then no gateway asked for a full state
    And all gateways know exactly the reservations that the others hold

  # Guards against a digest of changes that haven't been sent yet.
  Scenario: Changes are pending when a summary is sent
    Given a fleet of 63 gateways in 3 failure domains
    When the fleet runs for 7 seconds
    And the gateway 1 holds 2 reservations
    And the gateway 1 has a pending change, and a round of heartbeats is sent
    And 0.01 seconds pass
    And the fleet runs for 2 seconds
    Then no gateway asked for a full state
    And all gateways know exactly the reservations that the others hold

  # Guards against a comparison of a summary with a replica that has gone on since.
  Scenario Outline: Newer changes come while gateways wait for older ones (<changes>)
    Given a fleet of 63 gateways in 3 failure domains
    When the fleet runs for 7 seconds
    And the gateway 1 holds 2 reservations
    And the gateway 1 makes a reservation, and summaries overtake it
    And the gateway 1 <changes>
    And 0.01 seconds pass
    Then all gateways know exactly the reservations that the others hold
    When the fleet runs for 2 seconds
    Then no gateway asked for a full state
    And all gateways know exactly the reservations that the others hold

    Examples:
      | changes                                                      |
      | releases an older reservation and makes another one          |
      | releases an older reservation and makes another one, which overtake what is on its way |

  # Guards against a repair that depends on a single datagram.
  Scenario Outline: A change is lost, and then <kind>
    Given a fleet of 63 gateways in 3 failure domains
    When the fleet runs for 7 seconds
    And the gateway 1 holds 2 reservations
    And the gateway 1 makes another one while forwarded changes get lost
    And each gateway of another domain loses the first <kind>
    And the fleet runs for 12 seconds
    Then all gateways know exactly the reservations that the others hold

    Examples:
      | kind       |
      | summary    |
      | question   |
      | full state |

  # Guards against a full state that undoes what happened after it was sent.
  Scenario: A full state arrives later than newer changes
    Given a fleet of 63 gateways in 3 failure domains
    When the fleet runs for 7 seconds
    And the gateway 1 holds 2 reservations
    And the gateway 1 makes another one while forwarded changes get lost
    And full states to other domains are held back
    And the fleet runs for 6 seconds
    And the gateway 1 releases an older reservation and makes another one
    And 0.01 seconds pass
    And what was held back arrives
    Then all gateways know these last changes of the gateway 1
    When the fleet runs for 6 seconds
    Then all gateways know exactly the reservations that the others hold

  # Guards against a new process that knows nothing until its first comparison.
  Scenario: A receiver is restarted
    Given a fleet of 63 gateways in 3 failure domains
    When the fleet runs for 7 seconds
    And the gateway 1 holds 2 reservations
    And the gateway 5 is restarted
    Then all gateways know exactly the reservations that the others hold
    And no gateway asked for a full state

  # Guards against a new process whose empty replica passes for one that only waits.
  Scenario: A receiver is restarted, and the full states for it get lost
    Given a fleet of 63 gateways in 3 failure domains
    When the fleet runs for 7 seconds
    And the gateway 1 holds 2 reservations
    And the gateway 5 is restarted while full states get lost
    And the fleet runs for 6 seconds
    Then all gateways know exactly the reservations that the others hold

  # Guards against a new process that waits for changes, though no change can make its
  # replica whole.
  Scenario: A receiver is restarted, and a change is on its way when a summary comes
    Given a fleet of 63 gateways in 3 failure domains
    When the fleet runs for 7 seconds
    And the gateway 1 holds 2 reservations
    And the gateway 5 is restarted, and all but new summaries for it get lost
    Then it asked the gateway 1 at once, once for each summary

  # Guards against reservations of the earlier process, and against gateways that take
  # a summary for an introduction and lack the new process's addresses.
  Scenario Outline: A sender is restarted (<way>)
    Given a fleet of 63 gateways in 3 failure domains
    When the fleet runs for 7 seconds
    And the gateway 1 holds 2 reservations
    And the gateway 1 is restarted <way>
    And the gateway 1 holds 1 reservations
    And the fleet runs for 6 seconds
    Then all gateways know exactly the reservations that the others hold
    And all gateways know the address, domain and capacity of the gateway 1

    Examples:
      | way                         |
      | as usual                    |
      | while full states get lost  |

  # Guards against gateways that are cut off from a domain, miss changes, and hear of
  # them only in their turn.
  Scenario: A cut between two failure domains ends
    Given a fleet of 63 gateways in 3 failure domains
    When the fleet runs for 7 seconds
    And the gateway 1 holds 2 reservations
    And "z1" and "z2" are cut off from each other for 20 seconds while the gateway 1 makes a reservation
    And the fleet runs for 6 seconds
    Then all gateways know exactly the reservations that the others hold

  # Guards against reservations at engines that a gateway learns of later, which full
  # states used to bring again.
  Scenario: A gateway couldn't record reservations when they came
    Given a fleet of 63 gateways in 3 failure domains
    When the fleet runs for 7 seconds
    And the gateway 1 holds 2 reservations
    And the gateway 5 drops what it recorded of the gateway 1
    And the fleet runs for 6 seconds
    Then all gateways know exactly the reservations that the others hold

  # Guards against a change of fleets in which each heartbeat goes to all near gateways,
  # and of those that exchange aggregates between domains.
  Scenario Outline: Other fleets exchange states as before (<size>)
    Given a fleet of <size> gateways in <domains> failure domains
    When the fleet runs for 7 seconds
    And every gateway makes, advances and releases reservations at random
    And the fleet runs for 7 seconds
    Then all gateways know exactly the reservations of those near them
    And no summary and no question was sent

    Examples:
      | size | domains |
      | 9    | 3       |
      | 17   | 3       |
      | 145  | 5       |

  # Guards against gateways of the release before, which would take a summary for a
  # heartbeat and never be corrected, and don't know the question.
  Scenario Outline: Gateways of the release before summaries are among them (<old>)
    Given a fleet of 21 gateways in 3 failure domains
    And its gateways <old> don't know summaries
    When the fleet runs for 7 seconds
    And a tenth of all datagrams gets lost
    And every gateway makes, advances and releases reservations at random
    And no datagram gets lost any more
    And the fleet runs for 7 seconds
    Then all gateways know exactly the reservations that the others hold
    And those were sent full states, and neither a summary nor a question

    Examples:
      | old                      |
      | 1                        |
      | 2, 5, 8, 11, 14, 17, 20  |
      | 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19 |

  # Guards against a schema that the release before can't read, or whose bytes can't be
  # read any more.
  Scenario: Bytes of the release before summaries are read, and it reads these
    Then a heartbeat and a full state as that release wrote them are read
    And a decoder with its schema reads a summary as a heartbeat
    And that decoder takes a question for a message of unknown kind

  # Guards against a reservation that a summary brings back or keeps from coming.
  Scenario Outline: A gateway's messages and summaries come in every order (<messages>)
    Given the messages <messages> of one gateway
    Then every order of them, also with repeats, leaves the <held> with the progress <produced>

    Examples:
      | messages                                  | held    | produced |
      | made a, summary                           | a       | 0        |
      | made a, progress a 3, summary             | a       | 3        |
      | made a, summary, progress a 3             | a       | 3        |
      | made a, summary, end a                    | nothing | 0        |
      | made a, end a, summary                    | nothing | 0        |
      | summary, made a, progress a 3, end a      | nothing | 0        |
      | made a, summary, end a, summary           | nothing | 0        |
      | made a, progress a 3, end a, made b, summary | b    | 0        |
      | made a, summary, made b, end a, progress b 2 | b    | 2        |
      | made a, full, made b, summary, end a      | b       | 0        |
      | made a, summary, full, end a              | nothing | 0        |
      | full, made a, progress a 3, summary, made b, end b | a | 3     |

  # Guards against a wrong step, at times that no fleet's schedule meets.
  Scenario Outline: What is done about a summary (<replica>, <passed> s)
    Given a summary with number 8 that was sent <sent> s after the change 7
    Then the step is <step> when the replica <replica> and <passed> s have passed

    Examples:
      | sent | replica                          | passed | step    |
      | 0.1  | is the same                      | 0      | confirm |
      | 0.1  | lacks the change                 | 0      | wait    |
      | 0.1  | lacks the change                 | 0.89   | wait    |
      | 0.1  | lacks the change                 | 0.91   | ask     |
      | 1    | lacks the change                 | 0      | ask     |
      | 0.1  | lacks the change and isn't whole | 0      | ask     |
      | 0.1  | gets the change                  | 0.5    | confirm |
      | 0.1  | gets the change and a newer one  | 0.5    | confirm |
      | 0.1  | gets a newer change alone        | 0.5    | wait    |
      | 0.1  | gets a newer change alone        | 0.91   | ask     |
      | 0.1  | gets the change and lacks an older one | 0.5 | ask  |
      | 0.1  | lacks an older change            | 0      | ask     |
      | 0.1  | has one that ended               | 0      | ask     |

  # Guards against memory that grows where no full states come any more.
  Scenario: What is kept of other gateways' past is dropped with a summary
    Given a gateway that ends 20000 reservations without a full state
    Then 4096 of their names are kept
    And none after a summary that agrees
