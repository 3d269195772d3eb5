Feature: nothing is started in a drained data centre

  An operator drains a data centre ahead of repairs and takes it back later.
  Until then nothing may be started on its endpoints, whatever fails
  meanwhile, and callers are to notice as little of it as can be: what runs
  there may end, starts that are given up go elsewhere, and gangs stay whole.

  Scenario Outline: no <kind> task starts there until it is taken back
    Given 2 endpoints of 4 cores in data centre "north"
    And 2 endpoints of 4 cores in data centre "south"
    And an owner of the cell
    When jobs of 2 <kind> tasks are submitted every 100 ms for 8000 ms
    And 2000 ms pass
    And data centre "north" is drained
    And 3000 ms pass
    Then no task started in data centre "north" later than 5 ms after it was drained
    When data centre "north" is taken back
    And 2000 ms pass
    Then tasks started in data centre "north" in the last 1500 ms
    And all jobs are completed within 6000 ms
    And no invariant was violated

    Examples:
      | kind        |
      | plain       |
      | speculative |
      | ticketed    |

  Scenario Outline: starts that wait for the store are given up, and placed elsewhere
    Given 1 endpoints of 4 cores in data centre "north"
    And an owner of the cell
    And the store takes 300 ms for a write
    When a <job> "j" of 3 tasks is submitted
    And 50 ms pass
    And 2 endpoints of 4 cores are added in data centre "south"
    And data centre "north" is drained
    Then job "j" is completed within <max_ms> ms
    And no task started in data centre "north" later than 0 ms after it was drained
    And each task was started once
    And no invariant was violated

    Examples:
      | job  | max_ms |
      | job  | 2000   |
      | gang | 2000   |

  Scenario: a gang that is planned in two data centres stays whole
    Given 1 endpoints of 4 cores in data centre "north"
    And 1 endpoints of 4 cores in data centre "south"
    And an owner of the cell
    And the store takes 300 ms for a write
    When a gang "j" of 6 tasks is submitted
    And 50 ms pass
    And data centre "north" is drained
    And 1 endpoints of 4 cores are added in data centre "south"
    Then job "j" is completed within 2000 ms
    And each task was started once
    And no task started in data centre "north" later than 0 ms after it was drained

  Scenario Outline: a start that is carried out late does not run on there
    Given 1 endpoints of 4 cores in data centre "north"
    And an owner of the cell
    And endpoint "north0" executes starts <late_ms> ms late, without answering
    When a <job> "j" of 2 tasks is submitted
    And 200 ms pass
    And 1 endpoints of 4 cores are added in data centre "south"
    And data centre "north" is drained
    Then job "j" is completed within 6000 ms
    And each task of job "j" ended in data centre "south"
    And no invariant was violated

    Examples:
      | job  | late_ms |
      | job  | 2500    |
      | gang | 2500    |

  Scenario: a gang one member of which did not answer is given up whole
    Given 1 endpoints of 4 cores in data centre "north"
    And 1 endpoints of 4 cores in data centre "south"
    And an owner of the cell
    And endpoint "north0" executes starts 2500 ms late, without answering
    When a gang "j" of 6 tasks of 3000 ms is submitted
    And 200 ms pass
    And data centre "north" is drained
    And 1 endpoints of 4 cores are added in data centre "south"
    Then job "j" is completed within 5000 ms
    And each task of job "j" ended in data centre "south"
    And no invariant was violated

  Scenario Outline: with <drained> drained at once, nothing starts and what runs ends
    Given 2 endpoints of 4 cores in data centre "north"
    And 2 endpoints of 4 cores in data centre "south"
    And an owner of the cell
    When 6 jobs of 4 tasks of 900 ms are submitted
    And 300 ms pass
    And data centres <drained> are drained
    And 3000 ms pass
    Then no task started in data centre "north" later than 5 ms after it was drained
    And <done> jobs are completed
    And no run was stopped
    When data centres <drained> are taken back
    Then all jobs are completed within 3000 ms
    And no invariant was violated

    Examples:
      | drained       | done |
      | north, south  | 4    |
      | north         | 6    |

  Scenario Outline: a drain that is taken back within a second costs callers nothing
    Given 2 endpoints of 4 cores in data centre "north"
    And 2 endpoints of 4 cores in data centre "south"
    And an owner of the cell
    When a long-running job "service" of 10 tasks is submitted
    And 4 jobs of 3 tasks are submitted
    And 1000 ms pass
    And data centres <drained> are drained
    And 800 ms pass
    And data centres <drained> are taken back
    And 2 jobs of 3 tasks are submitted
    Then all but 1 jobs are completed within 1000 ms
    And each task was started once
    And no run was stopped

    Examples:
      | drained      |
      | north        |
      | north, south |

  Scenario Outline: the next owner starts nothing there, if the owner is lost <when>
    Given 2 endpoints of 4 cores in data centre "north"
    And 2 endpoints of 4 cores in data centre "south"
    And an owner of the cell
    When jobs of 2 plain tasks are submitted every 100 ms for 8000 ms
    And 2000 ms pass
    And data centre "north" is drained, of which the owner learns after <notice_ms> ms
    And <before_ms> ms pass
    And the owner is lost for 2000 ms
    And another VM takes over the cell
    And 4000 ms pass
    Then no task started in data centre "north" later than <before_ms> ms after it was drained
    And all jobs are completed within 12000 ms
    And no invariant was violated

    Examples:
      | when                      | notice_ms | before_ms |
      | before it learns of it    | 1000      | 100       |
      | just after it learned     | 10        | 20        |
      | long after it learned     | 10        | 1500      |

  Scenario: a store that is away meanwhile
    Given 2 endpoints of 4 cores in data centre "north"
    And 2 endpoints of 4 cores in data centre "south"
    And an owner of the cell
    When jobs of 2 plain tasks are submitted every 100 ms for 6000 ms
    And 2000 ms pass
    And the store is away for 3000 ms
    And data centre "north" is drained
    And 6000 ms pass
    Then no task started in data centre "north" later than 5 ms after it was drained
    And all jobs are completed within 12000 ms
    And no invariant was violated

  Scenario: one data centre is drained while another is cut off
    Given 2 endpoints of 4 cores in data centre "north"
    And 2 endpoints of 4 cores in data centre "south"
    And 2 endpoints of 4 cores in data centre "west"
    And an owner of the cell
    When jobs of 2 plain tasks are submitted every 100 ms for 8000 ms
    And 2000 ms pass
    And data centre "south" is cut off for 6000 ms
    And 1000 ms pass
    And data centre "north" is drained
    And 3000 ms pass
    And data centre "north" is taken back
    And 4000 ms pass
    Then no task started in data centre "north" later than 5 ms after it was drained
    And tasks started in data centre "north" in the last 3500 ms
    And all jobs are completed within 12000 ms
    And no invariant was violated

  Scenario: neither tickets nor held room are sought there
    Given 2 endpoints of 4 cores in data centre "north"
    And 2 endpoints of 4 cores in data centre "south"
    And an owner of the cell
    When data centre "north" is drained
    And 100 ms pass
    And jobs of 2 ticketed tasks are submitted every 100 ms for 2000 ms
    And 2000 ms pass
    Then no policy query named an endpoint in data centre "north"

  Scenario Outline: a slow run there is stopped only if there is room elsewhere
    Given 1 endpoints of 4 cores in data centre "north"
    And an owner of the cell
    And endpoint "north0" is 20 times slower
    When a job "j" of 2 tasks of 1000 ms is submitted
    And 300 ms pass
    And data centre "north" is drained
    And <added> endpoints of 4 cores are added in data centre "south"
    And 6000 ms pass
    Then <stopped> runs were stopped

    Examples:
      | added | stopped |
      | 0     | 0       |
      | 1     | 2       |

  Scenario Outline: long-running tasks that <kind> are moved, at most <away> at once
    Given 3 endpoints of 4 cores in data centre "north"
    And an owner of the cell
    And each order to stop takes 300 ms
    When a long-running job "service" of <tasks> tasks that <kind> is submitted, of which <limit> may be unavailable
    And 2000 ms pass
    And 3 endpoints of 4 cores are added in data centre "south"
    And data centre "north" is drained
    And its tasks are watched for 30000 ms
    Then <tasks> tasks of job "service" run in data centre "south"
    And at most <away> of its tasks were away at once
    And each task was away for at most <gap_ms> ms
    And no invariant was violated

    Examples:
      | kind            | tasks | limit | away | gap_ms |
      | need no tickets | 8     | 2     | 2    | 400    |
      | need no tickets | 8     | 0     | 1    | 400    |
      | need tickets    | 8     | 1     | 1    | 400    |

  Scenario Outline: a long-running task is not stopped there before there is room elsewhere <others>
    Given 2 endpoints of 4 cores in data centre "north"
    And 1 endpoints of 4 cores in data centre "south"
    And an owner of the cell
    When a long-running job "service" of 6 tasks that need no tickets is submitted, of which 2 may be unavailable
    And 200 ms pass
    And a long-running job "other" of 6 tasks that need no tickets is submitted, of which 2 may be unavailable
    And 2000 ms pass
    And data centre "north" is drained
    And 6000 ms pass
    Then no run was stopped
    When 2 endpoints of 4 cores are added in data centre "south"
    And <others> urgent tasks are submitted at once
    And 30000 ms pass
    Then 12 tasks of long-running jobs run in data centre "south"
    And each long-running task was stopped at most once

    Examples:
      | others |
      | 0      |
      | 6      |

  Scenario: while tasks of a step are away, no more are stopped
    Given 1 endpoints of 4 cores in data centre "north"
    And 1 endpoints of 4 cores in data centre "south"
    And an owner of the cell
    When a long-running job "service" of 6 tasks that need no tickets is submitted, of which 2 may be unavailable
    And 2000 ms pass
    And data centre "south" is cut off for 4000 ms
    And data centre "north" is drained
    And 1 endpoints of 4 cores are added in data centre "west"
    And 4000 ms pass
    Then no run was stopped

  Scenario: moves end when the data centre is taken back
    Given 2 endpoints of 4 cores in data centre "north"
    And an owner of the cell
    When a long-running job "service" of 8 tasks that need no tickets is submitted, of which 1 may be unavailable
    And 2000 ms pass
    And 2 endpoints of 4 cores are added in data centre "south"
    And data centre "north" is drained
    And 4000 ms pass
    And data centre "north" is taken back
    And 2000 ms pass
    Then 1 to 4 runs were stopped

  Scenario: a long-running gang stays whole where it is
    Given 2 endpoints of 4 cores in data centre "north"
    And an owner of the cell
    When a long-running gang "service" of 6 tasks is submitted
    And 2000 ms pass
    And 2 endpoints of 4 cores are added in data centre "south"
    And data centre "north" is drained
    And 8000 ms pass
    Then no run was stopped

  Scenario: the log and the story of a job tell of the drain
    Given 1 endpoints of 4 cores in data centre "north"
    And 1 endpoints of 4 cores in data centre "south"
    And an owner of the cell
    When 2 jobs of 4 tasks of 900 ms are submitted
    And 300 ms pass
    And data centres north, south are drained
    And 100 ms pass
    And a job "late" of 4 tasks is submitted
    And 3000 ms pass
    And data centres north, south are taken back
    And 1500 ms pass
    Then the log tells of the drain
      | event                  | data_centre | runs |
      | data centre drained    | north       | 4    |
      | data centre drained    | south       | 4    |
      | data centre empty      | north       |      |
      | data centre empty      | south       |      |
      | data centre taken back | north       | 0    |
      | data centre taken back | south       | 0    |
    And the story of job "late" contains 2 lines "data centre taken back"
    And the story of job "late" contains 2 lines "data centre empty"
