Feature: Leases
  At most one process counts on a lease at any time, and terms only rise.

  Scenario: The real code over 4,000 random schedules
    Given two processes that want one lease, with clocks that differ by the margin
    When 4000 schedules of 120 steps run with pauses, lost answers and late writes
    Then at no step did both count on the lease
    And no term was held by two processes
    And the lease was held in at least 3000 of the schedules

  # Guards against a lease that a returned store has lost, and that two hold then.
  Scenario: The real code over 4,000 random schedules with a store that returns
    Given two processes that want one lease, with clocks that differ by the margin
    When 4000 schedules of 240 steps run in which the store returns from copies
    Then at no step did both count on the lease
    And no term was held by two processes
    And the lease was held in at least 2000 of the schedules

  Scenario: A schedule test that must fail
    Given two processes that want one lease, with clocks that differ by the margin
    And a challenger that waits only half of the lease's time
    When 4000 schedules of 120 steps run with pauses, lost answers and late writes
    Then at some step both counted on the lease

  Scenario: Every state of a small model
    Given the lease model with 2 processes, a lease of 3 ticks and 4 versions
    Then in no reachable state do two processes count on the lease

  Scenario: The model check finds a challenger that doesn't wait long enough
    Given the lease model with 2 processes, a lease of 3 ticks and 4 versions
    And a model challenger that waits 1 tick less
    Then in some reachable state two processes count on the lease
