Feature: Parts of prompts that crash engines
  A part of a prompt ends each engine that begins to write an answer on it.  The
  engine is back a second later.

  # Guards against requests that crash one engine after the other: no gateway blamed
  # the part that they share.
  Scenario Outline: <requests> with a part that crashes engines soon reach none
    Given a site with 4 engines that a part crashes and 3 gateways
    When <requests> with the part come at all gateways for 8 seconds beside sound ones
    Then at most 3 of them reach engines later than 3 seconds after the fifth crash
    And the sound ones of the last 3 seconds are served

    Examples:
      | requests          |
      | streams           |
      | resumable streams |

  # Guards against gateways that don't hear of a blamed part while the store is down.
  Scenario: The same while the store is down
    Given a site with 4 engines that a part crashes and 3 gateways
    And the store is down
    When streams with the part come at all gateways for 8 seconds beside sound ones
    Then at most 3 of them reach engines later than 3 seconds after the fifth crash

  # Guards against a blamed part that a process which starts again doesn't know of.
  Scenario Outline: After a restart of <which> requests with the part reach no engine
    Given a site with 4 engines that a part crashes and 3 gateways
    When streams with the part come at all gateways for 5 seconds beside sound ones
    And <which> starts again
    Then none of 6 more streams with the part reaches an engine

    Examples:
      | which            |
      | one gateway      |
      | the whole system |

  # Guards against a quarantine that a store which returns from a copy has lost.
  Scenario: After a return of the store and a restart requests with the part reach no engine
    Given a site with 4 engines that a part crashes and 3 gateways
    And a copy of the store
    When streams with the part come at all gateways for 5 seconds beside sound ones
    And the store returns from that copy
    And the whole system starts again
    Then none of 6 more streams with the part reaches an engine

  # Guards against a part that is blamed for crashes it has no share in.
  Scenario: Engines that crash by themselves have no part blamed
    Given a site with 4 engines that a part crashes and 3 gateways
    When all engines crash 3 times while sound streams come at all gateways
    Then sound streams are served at all gateways
