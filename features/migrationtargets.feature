Feature: Engines for the generations of engines that are reclaimed
  No network: the gateway's choice of a target, from all gateways' reservations.

  # Guards against copies that queue at one engine while others have room.
  Scenario: A sixth of the engines is reclaimed at once, and 3 have just started
    Given 36 engines in 3 failure domains, each with 3 generations of all gateways
    And the last 3 of them have none
    When 6 engines leave, and each moves a generation before any copy is complete
    Then no engine gets more than one of the copies
    And all copies stay in their failure domain

  Scenario: The engines of the failure domain are busy with copies
    Given 6 engines in 3 failure domains, each with 3 generations of all gateways
    When the engine "e0" leaves, to whose neighbour 2 copies are on their way
    Then a generation of "e0" goes to another failure domain

  Scenario: The only other engine of the failure domain has one copy on its way
    Given 6 engines in 3 failure domains, each with 3 generations of all gateways
    When the engine "e0" leaves, to whose neighbour 1 copy is on its way
    Then a generation of "e0" goes to its neighbour

  Scenario: A copy that has arrived no longer counts
    Given 6 engines in 3 failure domains, each with 3 generations of all gateways
    When the engine "e0" leaves, to whose neighbour 2 copies are on their way
    And these copies have arrived
    Then a generation of "e0" goes to its neighbour
