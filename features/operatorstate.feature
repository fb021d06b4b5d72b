Feature: What a gateway tells operators of closed, cold and crowded places
  The command "traffic" asks a gateway's metrics address.

  # Guards against an evacuation whose progress no operator can see.
  Scenario: An evacuation is shown with what still runs there
    Given a site in 2 failure domains with 1 gateway
    When a stream runs in "z1" and the operator closes "z1"
    Then the state shows "z1" as closed, with 2 endpoints and 1 generation
    And the state names the engine on which the generation runs
    When the stream has ended
    Then the state shows "z1" as closed, with 2 endpoints and 0 generations
    When the operator opens "z1"
    Then the state shows nothing as closed

  # Guards against endpoints that are stopped while plain requests still run there.
  Scenario: Plain requests that still run in a closed failure domain are shown
    Given a site in 2 failure domains with 1 gateway
    When a plain request runs in "z1" for 1.5 s and "z1" is closed
    Then the state has shown requests that run in "z1", and then none

  # Guards against a time that is counted from the newest change of any evacuation.
  Scenario: The time since when a failure domain is closed isn't that of another one
    Given a site in 3 failure domains with 1 gateway
    When "z1" is closed, and "z2" 0.5 s later
    Then the state shows "z1" as closed for 0.5 s longer than "z2"

  # Guards against a warm-up that only log lines show.
  Scenario: A cold endpoint is shown with its rate and what waits for it
    Given a site in 2 failure domains with 1 gateway
    When the plain endpoints are cold for 5 s at 2 requests a second, and 6 requests come
    Then the state shows 2 cold endpoints at 2 requests a second, for up to 5 s
    And the state shows requests that wait for them

  # Guards against secrets, prompts and bodies of any size at an address without a key.
  Scenario: The state holds no secrets and is bounded in size
    Given a site in 2 failure domains with 1 gateway
    When the gateway knows 600 cold endpoints with names of 512 characters
    And a stream with the prompt "a secret prompt" runs
    Then the state counts 600 cold endpoints in less than 200000 bytes
    And neither API keys nor "a secret prompt" are in it

  Scenario: The command prints tables for people
    Given a site in 2 failure domains with 1 gateway
    When the operator closes "z1"
    Then the command prints "z1" as closed, and that no endpoint is cold
    And the command with callers of "z2" says "all gateways: host.regions is empty"

  # Guards against a mistake that ends in a traceback or in a wrong exit code.
  Scenario Outline: <mistake> is one line
    Given a site in 2 failure domains with 1 gateway
    Then the command with "<arguments>" ends with code <code> and "<line>"

    Examples:
      | mistake                 | arguments                      | code | line                    |
      | No URL                  | 127.0.0.1:1                    | 2    | allowed is an http URL  |
      | A region without place  | {metrics} --region r           | 2    | need --callers          |
      | No argument             |                                | 2    | requires an argument    |
      | A closed port           | http://127.0.0.1:1             | 1    | link_lost (1901)        |
      | The address for callers | {callers}                      | 1    | status 404              |
      | Another path            | {metrics}/metrics              | 1    | not the metrics address |

  # Guards against an answer to operators that differs from what callers are told.
  Scenario Outline: Callers of "<domain>" of a fleet are sent by <rule>
    Given a fleet of <size> gateways in 3 failure domains
    And the failure domains are in the regions "<regions>"
    When the gateways of "z1" use <load>% of their capacity, and the others 40%
    And the fleet runs for 7 seconds
    Then operators are told that callers of "<domain>" are sent by "<rule>" "<detail>"
    And the named gateways are those that callers of "<domain>" are told of
    And asking for reasons has counted and logged nothing

    Examples:
      | size | regions           | load | domain  | rule        | detail  |
      | 63   | north north north | 40   | z1      | shares      | own     |
      | 63   | north north north | 95   | z1      | shares      | crowded |
      | 63   | north north north | 40   | nowhere | shares      | none    |
      | 16   | north north north | 40   | z1      | whole-fleet |         |
      | 63   |                   | 40   | z1      | no-regions  |         |
      | 300  | north north north | 40   | z1      | large-fleet |         |
