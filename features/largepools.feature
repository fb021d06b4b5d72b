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

  # Guards against a tenth of a core that goes into looking at idle engines.
  Scenario: Engines are classified of which few are in use
    Given pools of 300 and 3000 engines that a gateway has just listed
    When 40 engines of each have requests and all are classified
    Then that takes at most 1.5 times as many lines in the larger one
    When all requests end and 120 seconds pass
    Then no engine counts as in use

  # Guards against admissions that take 12 ms each: of 3,000 engines all were examined.
  Scenario: A request is admitted
    Given pools of 300 and 3000 engines that a gateway has just listed
    When a request is admitted in each after 20 others
    Then that takes at most 1.5 times as many lines in the larger one
    And at most 96 engines were examined for it

  # Guards against requests that wait, or are refused, because of a sample alone.
  Scenario: A single engine of a large pool has room
    Given a pool of 300 engines of which all but "e217" are full
    When a request comes
    Then it is placed at "e217"

  Scenario: A single engine of a large pool has no limit
    Given a pool of 300 engines of which all but "e217" are at their limit
    When a request comes
    Then it is placed at "e217"

  Scenario: All engines of a large pool are at their limits
    Given a pool of 300 engines of which all are at their limit
    When a request comes
    Then it is refused with the code 1606

  # Guards against a full pool that is examined as a whole for each event.
  Scenario: A large pool is full while much happens
    Given a pool of 300 engines of which all are full
    When a request waits while the pool is looked at 200 times
    Then no more than 40000 engines were examined for it
    When "e217" gets room again
    Then the request is placed at "e217" within 0.3 seconds

  # Guards against a prefix cache that a large pool makes no use of.
  Scenario: Prompts with the same prefix come again to a large pool
    Given pools of 300 and 3000 engines that a gateway has just listed
    When prompts of 20 prefixes come 30 times
    Then at least 90 percent come to an engine that has their prefix

  # Guards against other choices where the pool is small.
  Scenario: The choices in a pool of 64 engines for a seed
    Given pools of 36 and 64 engines that a gateway has just listed
    Then 60 choices in each are those of the recorded digests
