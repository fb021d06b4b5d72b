Feature: From a request's id to its cause
  The on-call engineer has the logs of all processes and a request's id.

  Background:
    Given logs of a gateway, as a collector passes them on
      """
         1.0 g1 hlc=1000.0 node=g1 role=gateway domain=a event=config-in-force revision=7 routes=5
         1.0 g2 hlc=1000.0 node=g2 role=gateway domain=b event=config-in-force revision=6 routes=5
         2.0 g1 hlc=2000.0 node=g1 role=gateway domain=a event=request-received request=r1 route=draft
         2.0 g1 hlc=2000.1 node=g1 role=gateway domain=a event=attempt-sent request=r1 endpoint=e1
         3.0 g1 hlc=3000.0 node=g1 role=gateway domain=a event=endpoint-leaving endpoint=e1 reason='says so'
         3.0 g1 hlc=3000.1 node=g1 role=gateway domain=a event=endpoint-leaving endpoint=e5 reason='says so'
         3.1 g1 hlc=3100.0 node=g1 role=gateway domain=a event=move-failed request=r1 endpoint=e1 target=e2 reason='status 503'
         4.0 g1 hlc=4000.0 node=g1 role=gateway domain=a event=stream-cut request=r1 endpoint=e1 events=31
         4.0 g1 hlc=4000.1 node=g1 role=gateway domain=a event=request-failed request=r1 code=1404 reason='connection reset' run=ran
         5.0 g1 hlc=5000.0 node=g1 role=gateway domain=a event=request-finished request=r2 status=200
      """

  Scenario: A cut stream is traced to the engine that left
    When the request "r1" is explained
    Then the events are "config-in-force request-received attempt-sent endpoint-leaving move-failed stream-cut request-failed"
    And the outcome begins with "failed with 1404: The generation ended without its finish marker."
    And the outcome names "connection reset"

  Scenario: A request that got its answer
    When the request "r2" is explained
    Then the outcome begins with "answered with status 200"

  Scenario: A request that no log names is a user's mistake of one line
    When the request "r9" is explained
    Then the command fails with one line that names "r9"
