Feature: Ports for the servers of tests
  A server of a test that finds its port taken fails a scenario that is sound.

  # Guards against one port for two listeners of a site, or for two test processes.
  Scenario: No port is given out twice
    When two test processes take 900 ports each
    Then all these ports are different

  Scenario: A process that has ended leaves its ports to others
    When a test process takes a port 30 times, each time anew
    Then each time there was one
