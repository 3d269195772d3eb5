Feature: no record of a job stops the other jobs of the cell

  The store refuses values beyond a size, the simulated one as well. The tests
  guard against records that outgrow it, and against writes that it refuses for
  good and that hold up those of other jobs.

  # Guards against a job whose record outgrows the store while it is done.
  Scenario Outline: jobs whose records would outgrow the store are done beside others
    Given 4 endpoints of 40 cores
    And a store that takes values of up to <bytes> bytes
    And an owner of the cell
    When a job "wide" of <tasks> tasks is submitted that recurs <count> times every <gap_ms> ms
    And 500 ms pass
    And 3 jobs of 2 tasks are submitted
    Then job "j1" is completed within 2000 ms
    And all jobs are completed within <max_ms> ms
    And the store has refused no record
    And no record was larger than <bytes> bytes
    And no invariant was violated

    Examples:
      | bytes | tasks | count | gap_ms | max_ms |
      | 16384 | 300   | 3     | 100    | 60000  |
      | 16384 | 2     | 600   | 10     | 40000  |

  # Guards against progress that is lost as the record is compact.
  Scenario Outline: a wide job goes on where it was when its owner is lost
    Given 4 endpoints of 40 cores
    And a store that takes values of up to 16384 bytes
    And an owner of the cell
    When a job "wide" of <tasks> tasks is submitted that recurs <count> times every <gap_ms> ms
    And <before_ms> ms pass
    And the owner is lost for 50 ms
    And another VM takes over the cell
    Then job "wide" is completed within 60000 ms
    And the store has refused no record
    And no invariant was violated

    Examples:
      | tasks | count | gap_ms | before_ms |
      | 300   | 1     | 0      | 3000      |
      | 2     | 150   | 20     | 2500      |
      | 40    | 4     | 300    | 4000      |

  # Guards against a record that an earlier build has left too large.
  Scenario: a job whose record an earlier owner has left large goes on
    Given 4 endpoints of 40 cores
    And an owner of the cell
    When a job "wide" of 150 tasks is submitted that recurs 2 times every 100 ms
    And 300 ms pass
    And the store takes values of up to 4096 bytes from now on
    And the owner is lost for 50 ms
    And another VM takes over the cell
    And 3 jobs of 2 tasks are submitted
    Then all jobs are completed within 40000 ms
    And the store has refused no record
    And no invariant was violated

  # Guards against one record that can't be stored and holds up all others.
  Scenario: a job whose record the store refuses is given up, and no other
    Given 4 endpoints of 40 cores
    And a store that refuses the records of job "odd"
    And an owner of the cell
    When a job "odd" of 4 tasks is submitted
    And 3 jobs of 2 tasks are submitted
    And 4000 ms pass
    Then callers see job "j1" as completed
    And callers see job "odd" as failed
    And no task of job "odd" has started
    And no invariant was violated

  # Guards against a sound job that is given up as the store takes less.
  Scenario Outline: a job goes on with fewer open tasks where the store takes less than it says
    Given 4 endpoints of 40 cores
    And a store that takes values of up to 16384 bytes
    And the store in fact takes <bytes> bytes
    And an owner of the cell
    When a job "wide" of <tasks> tasks is submitted
    And 3 jobs of 2 tasks are submitted
    Then all jobs are completed within 60000 ms
    And the store has refused a record
    And no invariant was violated

    Examples:
      | bytes | tasks |
      | 400   | 30    |
      | 400   | 120   |
      | 250   | 20    |

  # Guards against records that name every failure of a task that lasts.
  Scenario: the record of a long-running job that keeps failing does not grow
    Given 2 endpoints of 4 cores
    And an owner of the cell
    When endpoint "e0" fails every task at once
    And endpoint "e1" fails every task at once
    And a long-running job "l" of 2 tasks is submitted
    And 20000 ms pass
    Then the record of job "l" has at most 300 bytes

  # Guards against checkpoints that make a record too large for the store.
  Scenario Outline: a record leaves out the checkpoints that it has no room for
    Given a record of <stages> steps with <tasks> checkpoints of <chars> characters each
    When its checkpoints are limited to <bytes> bytes
    Then the checkpoints of <kept> steps are left

    Examples:
      | stages | tasks | chars | bytes | kept |
      | 2      | 10    | 16    | 10000 | 2    |
      | 3      | 10    | 100   | 2400  | 2    |
      | 1      | 4     | 1000  | 2000  | 0    |

  Scenario Outline: a compact record is restored as it was
    Given a record in which the tasks <done> of <count> are done and <placed> run
    When it is made compact and restored
    Then it names the same tasks

    Examples:
      | done        | count | placed  |
      | 0,1,2,3     | 9     | 4,5     |
      | 1,3,5,7     | 9     | 0,2,4   |
      | 0           | 1     |         |
      |             | 5     | 0,1,2,3 |

  # Guards against a record that the store rejects and that is repeated for
  # good, before all others.
  Scenario Outline: the writer stores the other records of a rejected transaction
    Given a store that rejects the record of job "<rejected>" as <how>
    When the owner stores the records of the jobs <jobs>
    Then the records of the jobs <stored> are stored and reported
    And the writer gives job "<rejected>" back as <reported>

    Examples:
      | rejected | how       | jobs      | stored  | reported |
      | b        | too large | a,b,c     | a,c     | refused  |
      | a        | too large | a         |         | refused  |
      | e        | too large | a,b,c,d,e | a,b,c,d | refused  |
      | b        | malformed | a,b,c     | a,c     | delayed  |

  # Guards against a rejected list that is stored after later records.
  Scenario: the writer stores the list of silent endpoints before the records
    Given a store that rejects the record of job "b" as too large
    When the owner stores the list of silent endpoints and the records of a,b,c
    Then the records of the jobs a,c are stored and reported
    And the list was stored first

  # Guards against answers that say "unknown" where the store never takes it.
  Scenario Outline: a job that can never be stored or done is refused at once
    Given a VM whose store takes values of up to 16384 bytes
    When a caller submits a job with <content>
    Then the caller gets the result <result>
    And the store was called <calls> times

    Examples:
      | content                                  | result    | calls |
      | 200 tasks                                | accepted  | 1     |
      | a gang of 32 tasks                       | accepted  | 1     |
      | a gang of 33 tasks                       | bad-input | 0     |
      | 16 long-running tasks that recur 2 times | accepted  | 1     |
      | 17 long-running tasks that recur 2 times | bad-input | 0     |
      | 500 steps                                | bad-input | 0     |
