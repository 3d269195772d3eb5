Feature: urgent tasks preempt runs of callers who have time

  The tests guard against short urgent jobs that are late because endpoints
  are full of long tasks, and against what a preemption may do wrong: stop
  more than it gains, stop without the urgent work starting, stop a task again
  and again, break a gang, or count room twice when a stop, an owner or the
  store fails. Urgent jobs are on time within 1.5 times their run time and
  400 ms more; others within 4 times and 3,000 ms more.

  Scenario Outline: a wide burst on full endpoints is on time, and long work is not late
    Given <endpoints> endpoints of 8 cores
    And runs go on for <stop_ms> ms when they are stopped
    And an owner of the cell
    And a stream of long work of <long_ms> ms on <long_cores> cores fills the endpoints
    When <jobs> urgent jobs of 10 tasks of 500 ms on 2 cores are submitted
    Then all urgent jobs are on time
    And all other jobs are on time
    And at most <waste> times the work of the urgent jobs is thrown away
    And no task is started more than 3 times
    And no invariant was violated

    Examples:
      | endpoints | stop_ms | long_ms | long_cores | jobs | waste |
      | 8         | 0       | 6000    | 2          | 1    | 2     |
      | 8         | 300     | 6000    | 2          | 1    | 2     |
      | 16        | 200     | 4000    | 4          | 2    | 2     |
      | 16        | 300     | 6000    | 8          | 1    | 2     |

  Scenario Outline: a steady trickle of urgent jobs under long work
    Given 16 endpoints of 8 cores
    And runs go on for 200 ms when they are stopped
    And an owner of the cell
    And a stream of long work of <long_ms> ms on 2 cores fills the endpoints
    When an urgent job of 6 tasks of 500 ms on 2 cores is submitted every <gap_ms> ms for 8000 ms
    Then all urgent jobs are on time
    And all other jobs are on time
    And no task is started more than 3 times
    And no invariant was violated

    Examples:
      | long_ms | gap_ms |
      | 4000    | 1000   |
      | 6000    | 500    |

  Scenario: work with checkpoints gives way first, and resumes from them
    Given 8 endpoints of 8 cores
    And runs go on for 200 ms when they are stopped
    And an owner of the cell
    And long work of 6000 ms on 4 cores fills the endpoints, every other job with checkpoints
    When 1500 ms pass
    And 1 urgent jobs of 8 tasks of 500 ms on 2 cores are submitted
    Then all urgent jobs are on time
    And all other jobs are on time
    And 0 core-seconds of work are thrown away
    And no invariant was violated

  Scenario: tasks that need tickets stop runs where the policy allows them
    Given 8 endpoints of 8 cores
    And runs go on for 200 ms when they are stopped
    And an owner of the cell
    And long work of 6000 ms on 4 cores fills the endpoints
    When an urgent job of 4 tasks of 500 ms on 4 cores is submitted that the policy service allows on "e2 e3 e5"
    Then all urgent jobs are on time
    And the urgent tasks started on "e2 e3 e5" only
    And no invariant was violated

  Scenario Outline: a gang gives way as a whole or not at all
    Given 4 endpoints of 8 cores
    And runs go on for 200 ms when they are stopped
    And an owner of the cell
    And gangs of <members> tasks of 5000 ms on 4 cores fill the endpoints
    When 300 ms pass
    And 1 urgent jobs of 4 tasks of 500 ms on 4 cores are submitted
    Then all urgent jobs are on time
    And all other jobs are on time
    And no gang ran in part
    And no invariant was violated

    Examples:
      | members |
      | 2       |
      | 4       |

  Scenario Outline: <what> is not preempted
    Given 4 endpoints of 8 cores
    And an owner of the cell
    And <what> fills the endpoints
    When 20 ms pass
    And <urgent> of 4 tasks of 800 ms on 2 cores is submitted
    And 3000 ms pass
    Then no run was preempted

    Examples:
      | what                             | urgent                              |
      | long-running work                | an urgent job                       |
      | urgent work                      | an urgent job                       |
      | long work                        | a job of priority 1                 |
      | long work                        | an urgent job beyond its share      |
      | long work                        | an urgent job with ample time       |
      | long work                        | an urgent job that is late anyway   |
      | long work that has nearly ended  | an urgent job                       |
      | long work of callers in a hurry  | an urgent job                       |

  Scenario: a job is preempted a few times only, however much urgent work comes
    Given 4 endpoints of 8 cores
    And an owner of the cell
    And long work of 6000 ms on 2 cores fills the endpoints
    When an urgent job of 8 tasks of 500 ms on 2 cores is submitted every 600 ms for 30000 ms
    Then all jobs are completed within 30000 ms
    And the most preempted task was preempted 1 times
    And no invariant was violated

  Scenario: the room of a stopped run is not taken by others meanwhile
    Given 4 endpoints of 8 cores
    And runs go on for 300 ms when they are stopped
    And an owner of the cell
    And long work of 6000 ms on 7 cores fills the endpoints
    When 1 urgent jobs of 4 tasks of 500 ms on 8 cores are submitted
    And 50 ms pass
    And a job of 1 task of 500 ms on 1 core with priority 1 is submitted every 50 ms for 2000 ms
    Then all urgent jobs are on time
    And at most 4 runs were preempted
    And no invariant was violated

  Scenario: the room of several stopped runs of an endpoint is kept until the last has ended
    Given 4 endpoints of 8 cores
    And runs go on for 300 ms when they are stopped
    And an owner of the cell
    And long work of 6000 ms on 2 cores fills the endpoints
    And the next 4 stops are 100 ms apart
    When 1 urgent jobs of 1 tasks of 500 ms on 8 cores are submitted
    And 50 ms pass
    And a job of 1 task of 500 ms on 1 core with priority 1 is submitted every 50 ms for 2000 ms
    Then all urgent jobs are on time
    And at most 4 runs were preempted
    And no invariant was violated

  Scenario: no more runs are stopped than the limit of the account lets it use
    Given 4 endpoints of 8 cores
    And runs go on for 200 ms when they are stopped
    And an owner of the cell
    And long work of 6000 ms on 8 cores fills the endpoints
    When 4 urgent jobs of an account that may use 8 cores are submitted, of 1 task on 8 cores each
    And 300 ms pass
    Then at most 1 runs were preempted
    And no invariant was violated

  Scenario Outline: a stop that is <fault> costs no second run at once
    Given 4 endpoints of 8 cores
    And runs go on for 200 ms when they are stopped
    And an owner of the cell
    And long work of 6000 ms on 4 cores fills the endpoints
    When 300 ms pass
    And the next 4 stops are <fault>
    And 1 urgent jobs of 4 tasks of 500 ms on 4 cores are submitted
    And 700 ms pass
    Then at most 4 runs were preempted
    And all jobs are completed within 20000 ms
    And no invariant was violated

    Examples:
      | fault        |
      | lost         |
      | 500 ms late  |

  Scenario Outline: an owner is killed <after_ms> ms after it preempted
    Given 8 endpoints of 8 cores
    And runs go on for 300 ms when they are stopped
    And an owner of the cell
    And long work of 6000 ms on 4 cores fills the endpoints
    When 300 ms pass
    And 1 urgent jobs of 8 tasks of 500 ms on 4 cores are submitted
    And the owner is killed <after_ms> ms after a run was preempted, for 300 ms
    Then all jobs are completed within 25000 ms
    And no task is started more than 4 times
    And no invariant was violated

    Examples:
      | after_ms |
      | 0        |
      | 10       |
      | 310      |

  Scenario: the next owner knows how often a task was preempted
    Given 4 endpoints of 8 cores
    And an owner of the cell
    And long work of 6000 ms on 8 cores fills the endpoints
    When an urgent job of 4 tasks of 500 ms on 8 cores is submitted every 2000 ms for 1000 ms
    And the owner is lost for 300 ms
    And another VM takes over the cell
    And an urgent job of 4 tasks of 500 ms on 8 cores is submitted every 500 ms for 9000 ms
    Then all jobs are completed within 30000 ms
    And the most preempted task was preempted 1 times

  Scenario: nothing is stopped for work whose start the store cannot take
    Given 4 endpoints of 8 cores
    And an owner of the cell
    And long work of 6000 ms on 2 cores fills the endpoints
    When the store becomes unavailable
    And a job "cancelled" of 1 tasks is submitted
    And job "cancelled" is cancelled
    And 300 ms pass
    And 1 urgent jobs of 4 tasks of 500 ms on 2 cores are submitted
    And 500 ms pass
    Then no run was preempted

  Scenario: logs and metrics tell who gave way, for whom, and what it cost
    Given 4 endpoints of 8 cores
    And runs go on for 200 ms when they are stopped
    And an owner of the cell
    And long work of 6000 ms on 4 cores fills the endpoints
    When 300 ms pass
    And 1 urgent jobs of 2 tasks of 1500 ms on 4 cores are submitted
    And 3000 ms pass
    Then the story of a preempted job names the urgent job
    And the load tells of 2 preempted runs of queue "queue"
