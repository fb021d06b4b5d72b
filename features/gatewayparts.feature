Feature: The gateway's decisions one by one
  No network: each scenario asks one part for its decision under one pattern.

  Scenario: Drafts pile up at an engine that is reclaimed
    Given runs of 4000, 2000 and 3000 tokens at an engine, 1000 tokens copied in 0.1 s
    When the engine leaves and the neighbours have room for all
    Then the copies begin with the smallest run, each after the one before
    And the last of 3 copies begins after 0.5 seconds or more

  Scenario: Drafts pile up and no neighbour has room
    Given runs of 4000, 2000 and 3000 tokens at an engine, 1000 tokens copied in 0.1 s
    When the engine leaves and the neighbours have room for 2500 tokens
    Then the copies begin with the smallest run, each after the one before
    And the last of 3 copies begins after 0.8 seconds or more

  Scenario: Drafts pile up and the neighbours' room is scattered
    Given runs of 4000, 2000 and 3000 tokens at an engine, 1000 tokens copied in 0.1 s
    When the engine leaves and two neighbours have room for 1500 tokens each
    Then the copies begin with the smallest run, each after the one before
    And the last of 3 copies begins after 1.0 seconds or more

  Scenario: Drafts pile up and each copy takes another time than planned
    Given runs of 4000, 2000 and 3000 tokens at an engine, 1000 tokens copied in 0.1 s
    When the engine leaves and the neighbours have room for all
    Then a copy's turn comes when those before it have left, and not sooner
    And a run that doesn't leave holds up the next one for 0.4 seconds at most

  Scenario: Short checks at an engine that is reclaimed
    Given a run of short work at an engine
    When the engine leaves and the neighbours have room for all
    Then no copy is made

  Scenario: Drafts near their end at an engine that is reclaimed
    Given a run with 10 of its 2000 tokens left
    When the engine leaves and the neighbours have room for all
    Then no copy is made

  Scenario: Drafts that are likely to end at an engine that is reclaimed
    Given runs of which the smaller one ends soon by what has been learned
    When the engine leaves and the neighbours have room for all
    Then the copies begin with "lasting" and then "ending"

  # Guards against copies that wait for a prompt in prefill, which no engine copies.
  Scenario: The smallest draft at an engine that is reclaimed is still in prefill
    Given runs of 4000, 2000 and 3000 tokens at an engine, 1000 tokens copied in 0.1 s
    And the smallest one has no token yet
    When the engine leaves and the neighbours have room for all
    Then the copies begin with "middle", "large" and then "small", which delays none

  Scenario: A burst of failures spends the budget once for all gateways
    Given 8 gateways whose services may get 20 percent and 56 repeats in 10 s
    When each gateway gets 100 requests and every one fails
    Then all gateways together repeat at most 216
    And each of them repeats some

  Scenario: A budget that was spent is there again when the window has passed
    Given 8 gateways whose services may get 20 percent and 56 repeats in 10 s
    When each gateway gets 100 requests and every one fails
    And 11 seconds pass
    Then a repeat is allowed again

  Scenario Outline: Events are split as they are, however they are cut (<size>)
    Then a stream cut into pieces of <size> bytes gives events 1 to 9 unchanged

    Examples:
      | size |
      | 1    |
      | 7    |
      | 64   |
      | 5000 |

  Scenario: Trust in the configuration ends while a host is suspended
    Given a configuration confirmed a moment ago, to be trusted for 4 seconds
    When the host is suspended for 5 seconds
    Then keys aren't accepted

  Scenario: The names of the platform's wire stay in its folder
    Then no name of the platform's wire stands in the package outside its folder

  # Guards against work that grows with endpoints times their changes.
  Scenario: Hundreds of endpoints change at one moment
    Given a pool of 300 engines that a gateway has just listed
    When 100 of them begin to leave one after the other
    Then no request is placed at those, though the pool hasn't been set anew
    And after 0.1 seconds the pool has been set anew once
