Feature: Golden files of sessions through a gateway
  What callers, endpoints and the store send and get, as it stands on the wire.

  Scenario Outline: The session "<name>"
    Given a site with <plain> plain and <engines> engine endpoints of 3 events
    When the session sends <method> <path> with <body>
    Then the session is as in the golden file "gateway-<name>"

    Examples:
      | name       | plain | engines | method | path       | body   |
      | read       | 1     | 0       | GET    | /read/7?a= | no     |
      | correction | 1     | 0       | POST   | /post/7    | a body |
      | draft      | 0     | 1       | POST   | /draft/7   | a body |
      | no-route   | 1     | 0       | GET    | /none/     | no     |
      | no-room    | 0     | 0       | POST   | /draft/7   | a body |
