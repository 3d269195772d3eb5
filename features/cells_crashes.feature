Feature: a task that ends the processes of its endpoints is given up

  Such a task comes from a caller and harms all others: each endpoint that
  starts it loses its runs. It must be started a few times only, whatever
  becomes of the owner, and tasks that merely ran beside it must complete.
  Endpoints also fail by themselves, by no fault of a task.

  Scenario Outline: a task that crashes each endpoint is given up after a few starts
    Given 8 endpoints of 4 cores
    And endpoints whose process ends are back after <away_ms> ms under <id> id
    And an owner of the cell
    When a <kind> "bad" of 3 tasks is submitted whose first task ends its endpoint's process after <crash_ms> ms
    And 12 jobs of 6 tasks are submitted
    And the owner <owner>
    Then job "bad" is failed within 40000 ms
    And each task that ends processes was started at most 5 times
    And all but 1 jobs are completed within 20000 ms
    And no invariant was violated

    Examples: the owner stays
      | kind             | away_ms | id       | crash_ms | owner |
      | job              | 3000    | another  | 10       | stays |
      | job              | 3000    | the same | 10       | stays |
      | job              | 9000    | the same | 10       | stays |
      | job              | 9000    | another  | 10       | stays |
      | job              | 3000    | another  | 300      | stays |
      | job              | 3000    | the same | 490      | stays |
      | gang             | 3000    | another  | 10       | stays |
      | gang             | 3000    | the same | 10       | stays |
      | speculative job  | 3000    | another  | 10       | stays |
      | long-running job | 3000    | another  | 10       | stays |
      | long-running job | 3000    | the same | 10       | stays |

    Examples: the owner is lost at each crash
      | kind             | away_ms | id       | crash_ms | owner                                             |
      | job              | 3000    | another  | 10       | is lost 1 ms after each crash                     |
      | job              | 3000    | the same | 10       | is lost 1 ms after each crash                     |
      | job              | 3000    | another  | 10       | is lost 3010 ms after each crash                  |
      | job              | 3000    | the same | 10       | is lost 3010 ms after each crash                  |
      | job              | 500     | the same | 10       | is lost 600 ms after each crash                   |
      | job              | 500     | the same | 10       | is lost 300 ms after each crash                   |
      | job              | 3000    | the same | 10       | is without the store for 2000 ms after each crash |
      | job              | 3000    | another  | 10       | is without the store for 2000 ms after each crash |
      | job              | 9000    | the same | 10       | is lost 20 ms after each crash                    |
      | gang             | 3000    | the same | 10       | is lost 1 ms after each crash                     |
      | long-running job | 3000    | the same | 10       | is lost 1 ms after each crash                     |

  Scenario Outline: a suspected task is tried where it harms no other
    Given 8 endpoints of 4 cores
    And endpoints whose process ends are back after 3000 ms under another id
    And an owner of the cell
    When a <kind> "bad" of 3 tasks is submitted whose first task ends its endpoint's process after 10 ms
    And 3 jobs of 4 tasks are submitted
    And a job of 1 plain tasks is submitted every 100 ms for 15 s
    Then job "bad" is failed within 20000 ms
    And its endpoint crashed 3 times, and other runs were lost in the first 1 crashes only
    And all but 1 jobs are completed within 5000 ms
    And no invariant was violated

    Examples:
      | kind             |
      | job              |
      | speculative job  |
      | long-running job |

  Scenario: a strongly suspected task waits until an endpoint has no other runs
    Given 4 endpoints of 4 cores
    And endpoints whose process ends are back after 3000 ms under another id
    And an owner of the cell
    When 14 streams of tasks of 700 ms fill the endpoints for 20 s
    And 1000 ms pass
    And a job "bad" of 1 tasks is submitted whose first task ends its endpoint's process after 10 ms
    Then job "bad" is failed within 20000 ms
    And its endpoint crashed 3 times, and other runs were lost in the first 2 crashes only
    And of these, only the runs lost in the first crash were counted
    And all but 1 jobs are completed within 30000 ms
    And no invariant was violated

  Scenario Outline: tasks on endpoints that crash by themselves complete
    Given 8 endpoints of 4 cores
    And endpoints whose process ends are back after 1000 ms under <id> id
    And an owner of the cell
    When jobs of 4 tasks of <task_ms> ms come for 40 s while a process ends every <gap_ms> ms, with seed <seed>
    Then all jobs are completed within 60000 ms
    And no invariant was violated

    Examples:
      | task_ms | gap_ms | id       | seed |
      | 500     | 300    | the same | 1    |
      | 500     | 300    | another  | 2    |
      | 2000    | 600    | the same | 3    |
      | 2000    | 600    | another  | 4    |
      | 2000    | 600    | the same | 5    |
      | 4000    | 1000   | another  | 6    |

  Scenario Outline: what is made of crashes depends on when they came, and on how often endpoints fail
    When a task's runs ended in crashes after <run_ms> ms
    And an endpoint fails by itself every <every_s> s
    Then the task is <verdict>

    Examples: endpoints hardly fail by themselves
      | run_ms             | every_s | verdict            |
      | none               | 300     | sound              |
      | 5000               | 300     | sound              |
      | 12                 | 300     | suspected          |
      | 12, 12             | 300     | strongly suspected |
      | 12, 12, 12         | 300     | given up           |
      | 300, 300, 300      | 300     | strongly suspected |
      | 300, 300, 300, 300 | 300     | given up           |
      | 5000, 12, 12       | 300     | strongly suspected |
      | 5000, 5000, 5000   | 300     | strongly suspected |

    Examples: endpoints fail often
      | run_ms                 | every_s | verdict            |
      | 300                    | 4       | sound              |
      | 12                     | 4       | sound              |
      | 12, 12                 | 4       | suspected          |
      | 12, 12, 12             | 4       | strongly suspected |
      | 12, 12, 12, 12         | 4       | given up           |
      | 2000, 2000, 2000, 2000 | 4       | sound              |

  Scenario Outline: a run that outlasts the earlier ones clears its task
    When a task's runs ended in crashes after <run_ms> ms
    And its next run works for <worked_ms> ms
    And an endpoint fails by itself every 300 s
    Then the task is <verdict>

    Examples:
      | run_ms | worked_ms | verdict            |
      | 12, 12 | 150       | strongly suspected |
      | 12, 12 | 300       | sound              |
      | 700    | 300       | suspected          |
      | 700    | 1700      | sound              |

  Scenario: endpoints that leave as planned count for no task
    Given 6 endpoints of 4 cores
    And an owner of the cell
    When a job "j" of 4 tasks of 9000 ms is submitted
    And 100 ms pass
    And endpoint "e0" drains, and its process ends 1 ms later
    And 5000 ms pass
    Then no crash is counted for job "j"

  Scenario: an endpoint that was cut off counts for no task
    Given 2 endpoints of 4 cores
    And an owner of the cell
    When a job "j" of 4 tasks of 9000 ms is submitted
    And 100 ms pass
    And endpoint "e0" becomes unreachable
    And 8000 ms pass
    And endpoint "e0" is reachable again
    And 1000 ms pass
    And endpoint "e0" restarts
    And 1000 ms pass
    Then no crash is counted for job "j"
    And job "j" is completed within 12000 ms

  Scenario: a crash that became known after the lease of a run counts once, however many owners follow
    Given 2 endpoints of 4 cores
    And an owner of the cell
    When a long-running job "j" of 4 tasks is submitted
    And 300 ms pass
    And endpoint "e0" becomes unreachable
    And 8000 ms pass
    And endpoint "e0" restarts
    And endpoint "e0" is reachable again
    And 2000 ms pass
    And 6 owners in turn take over the cell, each for 400 ms
    Then 4 tasks of job "j" run
    And at most 1 crashes are counted for each task of job "j"

  Scenario Outline: a start that finds another endpoint may have ended the one before
    Given 1 endpoints of 4 cores
    And an owner of the cell
    When 50 ms pass
    And all endpoints leave 10 of 10 calls unanswered
    And a job "j" of 1 tasks is submitted
    And <before_ms> ms pass
    And another endpoint answers the order to start job "j"
    Then <crashes> crashes are counted for job "j"

    Examples:
      | before_ms | crashes | comment                      |
      | 100       | 0       | the first order had no copy  |
      | 500       | 1       | it was repeated              |

  Scenario Outline: counts of crashes pass from build to build
    Given a stored record of <build>
    When the record is read
    Then its run on endpoint "e1" is known
    And it names <crashes> crashes of its task

    Examples:
      | build                             | crashes |
      | the build before                  | 0       |
      | this build                        | 2       |
      | a build with fields not known yet | 2       |

  Scenario: the log names each run that was lost with its endpoint, and how long it had worked
    Given 1 endpoints of 4 cores
    And an owner of the cell
    When a long-running job "j" of 2 tasks is submitted
    And 4000 ms pass
    And endpoint "e0" restarts
    And 2000 ms pass
    Then the log tells that 2 runs of job "j" were lost after 1500 to 4000 ms of work, as "it was registered again after a restart"
