Feature: The store returns from an older copy
  What it acknowledged after the copy is gone, its revisions go back and are given out
  again, and its era rises.  The operator and the endpoints write again what was theirs.

  # Guards against gateways that take what a returned store says for old.
  Scenario Outline: A change after the return is in force (<lost> lost, <away> s away)
    Given a site with 1 plain endpoints and 4 gateways in 2 failure domains
    When the store returns after <away> seconds from a copy without the last <lost> configurations
    And the operator's next change takes the key away
    Then requests with that key get 401 at every gateway within 2 seconds

    Examples:
      | lost | away |
      | 1    | 0.2  |
      | 2    | 0.2  |
      | 6    | 0.2  |
      | 6    | 2    |

  # Guards against a store that is back and whose answers no gateway takes for recent.
  Scenario: Service goes on after the return
    Given a site with 1 plain endpoints and 4 gateways in 2 failure domains
    When the store returns after 1 seconds from a copy without the last 6 configurations
    Then for 7 seconds requests with a key are served at every gateway

  # Guards against lists without a pause.
  Scenario: The return brings no rush of calls
    Given a site with 1 plain endpoints and 4 gateways in 2 failure domains
    When the store returns after 1 seconds from a copy without the last 6 configurations
    Then the store gets at most 80 calls in the next 3 seconds

  Scenario: The store returns twice
    Given a site with 1 plain endpoints and 4 gateways in 2 failure domains
    When the store returns after 0.2 seconds from a copy without the last 3 configurations
    And the store returns after 0.2 seconds from a copy without the last 3 configurations
    And the operator's next change takes the key away
    Then requests with that key get 401 at every gateway within 2 seconds

  Scenario: A gateway that is cut off from the store over the return
    Given a site with 1 plain endpoints and 3 gateways
    When the first gateway is cut off from the store while it returns from a copy
    And the operator's next change takes the key away
    Then requests with that key get 401 at every gateway within 4 seconds

  # Guards against what was withdrawn and is used again, as the copy still has it.
  Scenario Outline: <what> that the copy still has stays out, at <which> too
    Given a site with 2 plain endpoints and 3 gateways
    When the store returns from a copy that still has <what>, after it was withdrawn
    And the <which> is started again
    Then <what> isn't used at any gateway

    Examples:
      | what        | which         |
      | a key       | last gateway  |
      | an endpoint | last gateway  |

  # Guards against endpoints that are sound and fall out until they write again.
  Scenario: An endpoint that started after the copy goes on getting requests
    Given a site with 1 plain endpoints and 3 gateways
    When the store returns from a copy without an endpoint that writes again after 1 seconds
    Then both endpoints get requests all the while

  # Guards against a starting gateway that finds no other one.
  Scenario: The gateways' records are written again, once each
    Given a site with 1 plain endpoints and 3 gateways
    When the store returns from a copy without the gateways' records
    Then all 3 records are soon there again
    And each was written once
