Feature: a job with many occurrences or steps does not stop the other jobs

  Each occurrence that is under way costs the owner processor time at each event
  of its job, and each stage that could start at each plan. The tests guard
  against jobs that keep the owner from renewing its lease.

  # Guards against an owner that has no time for other jobs.
  Scenario Outline: few tasks of a recurring job are under way at a time
    Given 4 endpoints of 40 cores
    And a store that takes values of up to 16384 bytes
    And an owner of the cell
    When a job "many" of <tasks> tasks is submitted that recurs <count> times every <gap_ms> ms
    And 1000 ms pass
    Then at most <most> tasks of job "many" are kept
    And job "many" is completed within <max_ms> ms
    And each occurrence of job "many" started once, when it was due or later
    And at most <most> tasks of job "many" are kept
    And no invariant was violated

    Examples:
      | tasks | count | gap_ms | most | max_ms |
      | 1     | 900   | 0      | 96   | 40000  |
      | 2     | 300   | 1      | 96   | 40000  |
      | 40    | 6     | 0      | 120  | 40000  |

  # Guards against occurrences that run again, or never, after a takeover.
  Scenario Outline: a takeover loses and repeats no occurrence
    Given 4 endpoints of 40 cores
    And a store that takes values of up to <bytes> bytes
    And an owner of the cell
    When a job "many" of 2 tasks is submitted that recurs <count> times every <gap_ms> ms
    And <before_ms> ms pass
    And the owner is lost for 50 ms
    And another VM takes over the cell
    Then job "many" is completed within 60000 ms
    And each occurrence of job "many" started once, when it was due or later
    And no invariant was violated

    Examples:
      | bytes   | count | gap_ms | before_ms |
      | 16384   | 200   | 0      | 3000      |
      | 16384   | 60    | 50     | 1200      |
      | 1048576 | 60    | 50     | 1200      |
      | 1048576 | 10    | 0      | 700       |

  # Guards against a plan that looks at thousands of stages of one job.
  Scenario Outline: a plan looks at a bounded number of stages of each job
    Given a job with <own> stages that could start, and <others> jobs with one
    When <plans> plans choose stages
    Then each plan looks at <in_plan> stages, and at all of the <others> jobs
    And together they have looked at <seen> stages of the first job

    Examples:
      | own | others | plans | in_plan | seen |
      | 10  | 3      | 1     | 13      | 10   |
      | 64  | 3      | 1     | 67      | 64   |
      | 200 | 3      | 1     | 67      | 64   |
      | 200 | 3      | 4     | 67      | 200  |

  Scenario Outline: a set of numbers is kept as ranges
    When the numbers <numbers> are added to an empty set
    Then its ranges are <ranges>
    And it holds the numbers <numbers> and no other up to 12

    Examples:
      | numbers     | ranges        |
      | 4           | 4+1           |
      | 0,1,2       | 0+3           |
      | 2,1,0       | 0+3           |
      | 0,2,1       | 0+3           |
      | 5,9,7       | 5+1,7+1,9+1   |
      | 1,2,9,8,2   | 1+2,8+2       |

  # Guards against a plan that takes longer than the owner's lease lasts, as it
  # looks at all pairs of a job's steps.
  Scenario Outline: the longest chains of a job take one look at each step
    Given a job of <steps> steps of 100 ms in the shape of a <shape>
    When the longest chain from each of its steps is asked for
    Then the run time of a step was asked for <steps> times
    And the longest chain from the first step takes <chain_ms> ms

    Examples:
      | steps | shape | chain_ms |
      | 1     | row   | 100      |
      | 400   | row   | 100      |
      | 400   | chain | 40000    |
      | 400   | fan   | 200      |
