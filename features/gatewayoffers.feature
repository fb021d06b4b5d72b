Feature: Callers that offer another protocol
  A server that doesn't want to switch ignores the offer and serves the request as it is,
  with its own body.  No byte of a request is a request of its own.

  # Guards against requests that run without their bodies, and bodies that run as requests.
  Scenario Outline: A caller offers <offer> with a body that <how>
    Given a site with 2 plain endpoints
    When a caller posts with an offer of <offer>, and the body <how>
    Then the endpoints ran that request alone, with its own body

    Examples:
      | offer                        | how                       |
      | h2c                          | comes with the head       |
      | h2c                          | comes later               |
      | h2c                          | comes byte by byte        |
      | h2c                          | comes in chunks           |
      | h2c                          | comes after half the head |
      | websocket                    | comes later               |
      | TLS/1.2                      | comes later               |
      | h2c in lines of their own    | comes later               |
      | h2c beside keep-alive        | comes later               |
      | two protocols                | comes with the head       |

  # Guards against a request that is lost or changed behind one with an offer.
  Scenario: Requests follow one with an offer on its connection
    Given a site with 2 plain endpoints
    When a caller sends a post with an offer of h2c and two requests behind it at once
    Then the endpoints ran all three with their own bodies, each with its answer

  # Guards against bytes behind a tunnel's head that run as a request.
  Scenario Outline: A caller <asks> and sends a request behind that
    Given a site with 2 plain endpoints
    When a caller <asks> and sends a request behind that
    Then the answer is 400 and nothing has run

    Examples:
      | asks                         |
      | asks for a tunnel            |
      | begins with HTTP/2           |

  # Guards against a body that isn't as long as its head says.
  Scenario: A body that ends before its length runs nowhere
    Given a site with 2 plain endpoints
    When a caller posts half a body and closes its side
    Then no endpoint has run anything

  # Guards against limits that a head with an offer passes.
  Scenario: An offer with more headers than the limit is refused
    Given a site with 2 plain endpoints
    When a caller posts with an offer of h2c and 500 more headers
    Then the answer is 431 and nothing has run
