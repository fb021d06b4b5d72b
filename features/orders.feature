Feature: Orders to engines
  Declared models, versions and roles come true at the engines, under a lease
  whose term is the fencing number.

  Background:
    Given a shared "herd" fleet with 3 engines and quick leases

  Scenario: A new version is rolled out and no stream is cut
    Given "herders-north" streams "rolling" of 250 tokens at entry 0 in the background
    When version "2" of the model is declared
    Then every engine holds version "2" and serves
    And at every moment at least 1 engine served
    And the stream "rolling" is whole

  Scenario: A version that fails to load is rolled back
    Given every engine fails to load version "3"
    When version "3" of the model is declared
    Then the platform's status says that version "3" was rolled back to "2"
    And every engine holds version "2" and serves
    And at every moment at least 1 engine served

  Scenario: The lease holder is paused past its time and woken
    Given loads take 1.0 s
    When the holder of the orders' lease is paused
    And version "4" of the model is declared
    Then every engine holds version "4" and serves
    When the paused holder wakes
    Then no engine carried out an order with an older term after a newer one

  Scenario: An engine is drained and brought back by declaration
    When engine 1 is declared in role "drain"
    Then engine 1 gets no new work and the others serve
    When engine 1 is declared in role "serve"
    Then every engine holds version "4" and serves
