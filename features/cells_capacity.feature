Feature: capacities of endpoints change while tasks run

  An endpoint's capacity may shrink and grow again; its entry in the store
  tells. No start may bring it over its capacity once the owner must know of
  it, and room that comes back is used at once. Runs that no longer fit go on.

  Scenario Outline: no start brings an endpoint that shrinks and grows over its capacity
    Given 4 endpoints of 8 cores
    And a store that takes <write_ms> ms a write
    And an owner of the cell
    When capacities change every <gap_ms> ms while tasks of <task_ms> ms come for 40 s and the owner <owner>, with seed <seed>
    Then all jobs are completed within 60000 ms
    And no invariant was violated

    Examples:
      | write_ms | gap_ms | task_ms | owner                 | seed |
      | 6        | 2000   | 700     | stays                 | 1    |
      | 6        | 900    | 3000    | stays                 | 2    |
      | 6        | 2000   | 3000    | is lost every 5000 ms | 3    |
      | 6        | 900    | 700     | is lost every 3000 ms | 4    |
      | 400      | 900    | 3000    | is lost every 5000 ms | 5    |

  Scenario: a start that waited for the store is not ordered on an endpoint that shrank meanwhile
    Given 1 endpoints of 8 cores
    And an owner of the cell
    When the store becomes unavailable
    And a job "j" of 6 tasks is submitted
    And 100 ms pass
    And endpoint "e0" shrinks to 2 cores
    And 5000 ms pass
    And the store is available again
    And 300 ms pass
    Then 2 tasks were started
    And job "j" is completed within 4000 ms
    And no invariant was violated

  Scenario: no task starts on an endpoint that has begun anew before its capacity is known
    Given 1 endpoints of 8 cores
    And an owner of the cell
    When a job "j" of 6 tasks of 3000 ms is submitted
    And 2000 ms pass
    And endpoint "e0" restarts with 2 cores and registers 1500 ms later
    Then job "j" is completed within 15000 ms
    And no invariant was violated

  Scenario: a run that is being stopped counts until it has ended
    Given 1 endpoints of 8 cores
    And runs go on for 400 ms when they are stopped
    And an owner of the cell
    When a job "j" of 8 tasks of 20000 ms is submitted
    And 300 ms pass
    And job "j" is cancelled
    And a job "k" of 8 tasks is submitted
    And 200 ms pass
    Then 0 tasks of job "k" run
    And job "k" is completed within 1500 ms
    And no invariant was violated

  Scenario: runs go on when their endpoint shrinks, and room that comes back is used at once
    Given 1 endpoints of 8 cores
    And an owner of the cell
    When a job "j" of 8 tasks of 3000 ms is submitted
    And 300 ms pass
    And endpoint "e0" shrinks to 2 cores
    And a job "k" of 4 tasks is submitted
    And 1000 ms pass
    Then 8 tasks of job "j" run
    And 0 tasks of job "k" run
    When endpoint "e0" grows to 12 cores
    And 30 ms pass
    Then 4 tasks of job "k" run
    And no invariant was violated
