Feature: Pools of thousands of engines
  What a gateway does for one event mustn't grow with all engines of a pool.  Work is
  counted in lines of Python that run, so that a busy machine makes no difference.

  # Guards against a gateway that spends its time on changes: with 300 gateways and
  # 3,000 engines each change took time in proportion to all of them.
  Scenario: One endpoint changes
    Given pools of 300 and 3000 engines that a gateway has just listed
    When the entry of one engine changes in each
    Then that takes at most 1.5 times as many lines in the larger one
    And each pool has the engines that are listed

  Scenario: One endpoint begins to leave
    Given pools of 300 and 3000 engines that a gateway has just listed
    When one engine begins to leave in each
    Then that takes at most 1.5 times as many lines in the larger one
    And each pool has the engines that are listed

  # Guards against versions that are compared with all others for each endpoint: where
  # each engine is its own version, one change took 144 ms of 3,000 engines.
  Scenario: Each engine has a version of its own and one endpoint changes
    Given pools of 300 and 3000 engines that a gateway has just listed
    When the entry of one engine changes in each, and that is timed
    Then that takes at most 20 times as long in the larger one

  # Guards against aggregates of other failure domains that cost time for all engines.
  Scenario: An aggregate names one engine
    Given pools of 300 and 3000 engines that a gateway has just listed
    When another failure domain names the load on one engine in each
    Then that takes at most 1.5 times as many lines in the larger one
    And that engine alone has a remote load
    When the other failure domain names no load
    Then no engine has a remote load

  # Guards against an index of the endpoints that drifts from what is known.
  Scenario: Endpoints come, leave, return, change and are evacuated at random
    Given pools of 20 and 60 engines that a gateway has just listed
    When 400 random changes of endpoints are applied to each
    Then each pool has the engines that are listed
    And the usable endpoints are those that are known, in their order
