Feature: runs are let go with the incarnation of the endpoint that ran them

  An endpoint restarts under its id. Its entry in the store, its answers to
  polls and its answers to orders tell so at different times, in any order.
  Callers must see each task run once, and no room taken for a lost run.

  # review/2: a restarted endpoint whose entry came after a start ran tasks
  # that were started elsewhere too.
  Scenario Outline: a task that a restarted endpoint runs is not started elsewhere
    Given 4 endpoints of 8 cores
    And an owner of the cell
    When 4000 ms pass
    And endpoint "e0" restarts within <away_ms> ms, and its entry follows <entry_ms> ms later
    And <wait_ms> ms pass
    And <kind> comes, of <tasks> tasks that take <task_ms> ms each
    And 20000 ms pass
    Then no invariant was violated
    And each task was started once and none of its runs was stopped
    And the owner knows of no run that no endpoint has

    Examples:
      | away_ms | entry_ms | wait_ms | kind               | tasks | task_ms |
      | 300     | 300      | 310     | a job              | 3     | 6000    |
      | 300     | 1500     | 310     | a job              | 3     | 6000    |
      | 300     | 1500     | 1600    | a job              | 9     | 3000    |
      | 1400    | 100      | 1480    | a job              | 3     | 6000    |
      | 1400    | 4        | 1400    | a job              | 3     | 6000    |
      | 1400    | 1500     | 1410    | a job              | 32    | 2000    |
      | 700     | 900      | 720     | a gang             | 6     | 4000    |
      | 700     | 40       | 720     | a gang             | 32    | 4000    |
      | 700     | 900      | 720     | a long-running job | 5     | 6000    |
      | 700     | 900      | 720     | an urgent job      | 4     | 500     |

  # The same with a new owner, which reads in the record which incarnation was
  # known when the start was ordered.
  Scenario Outline: a new owner keeps the tasks that a restarted endpoint runs
    Given 4 endpoints of 8 cores
    And an owner of the cell
    When 4000 ms pass
    And endpoint "e0" restarts within 700 ms, and its entry follows <entry_ms> ms later
    And 720 ms pass
    And a job comes, of 3 tasks that take 6000 ms each
    And <owned_ms> ms pass
    And answers of endpoint "e0" are lost from now on
    And the owner is lost and another one takes over after <gap_ms> ms
    And <silent_ms> ms pass
    And answers of endpoint "e0" are lost no more
    And 20000 ms pass
    Then no invariant was violated
    And each task was started once and none of its runs was stopped
    And the owner knows of no run that no endpoint has

    Examples:
      | entry_ms | owned_ms | gap_ms | silent_ms |
      | 100      | 30       | 200    | 0         |
      | 100      | 30       | 200    | 900       |
      | 100      | 30       | 2000   | 2500      |
      | 1200     | 30       | 200    | 1500      |
      | 1200     | 600      | 300    | 900       |
      | 1200     | 1300     | 300    | 0         |

  # The other way round: what ended with the old incarnation is let go of, also
  # where the new one was started on meanwhile.
  Scenario Outline: tasks that a restart has ended are started again
    Given 4 endpoints of 8 cores
    And an owner of the cell
    When a job comes, of 32 tasks that take 6000 ms each
    And <age_ms> ms pass
    And endpoint "e0" restarts within <away_ms> ms, and its entry follows <entry_ms> ms later
    And <gap_ms> ms pass
    And <next>
    And 16000 ms pass
    Then no invariant was violated
    And all jobs are completed within 6000 ms
    And the owner knows of no run that no endpoint has

    Examples:
      | age_ms | away_ms | entry_ms | gap_ms | next                                                                         |
      | 2000   | 300     | 1500     | 100    | 10 ms pass                                                                   |
      | 2000   | 300     | 0        | 100    | 10 ms pass                                                                   |
      | 2000   | 300     | 0        | 700    | endpoint "e0" restarts within 700 ms, and its entry follows 1500 ms later    |
      | 2000   | 300     | 900      | 400    | endpoint "e0" restarts within 300 ms, and its entry follows 0 ms later       |
      | 20     | 300     | 1500     | 100    | 10 ms pass                                                                   |
      | 8      | 300     | 0        | 100    | 10 ms pass                                                                   |
      | 2000   | 1400    | 40       | 1000   | the owner is lost and another one takes over after 700 ms                    |
      | 20     | 300     | 40       | 10     | the owner is lost and another one takes over after 700 ms                    |

  Scenario Outline: what tells of an earlier incarnation counts for nothing afterwards
    Given 4 endpoints of 8 cores
    And an owner of the cell
    When 4000 ms pass
    And endpoint "e0" restarts within 700 ms, and its entry follows 50 ms later
    And 740 ms pass
    And a job comes, of 3 tasks that take 6000 ms each
    And <ms> ms pass
    And <old> of the earlier incarnation of "e0" arrives
    And 20000 ms pass
    Then no invariant was violated
    And each task was started once and none of its runs was stopped
    And the owner knows of no run that no endpoint has

    Examples:
      | ms   | old                                                    |
      | 1000 | an answer to a poll                                    |
      | 3000 | an answer to a poll                                    |
      | 1000 | the entry                                              |
      | 3000 | the entry                                              |
      | 1000 | a poll's answer of another endpoint, for the address   |
      | 3000 | a poll's answer of another endpoint, for the address   |

  Scenario: an endpoint that is back at another address runs none of the earlier tasks
    Given 4 endpoints of 8 cores
    And an owner of the cell
    When 4000 ms pass
    And endpoint "e0" restarts within 300 ms at another address, and its entry follows 700 ms later
    And 300 ms pass
    And a job comes, of 3 tasks that take 2000 ms each
    And 10000 ms pass
    Then no invariant was violated
    And all jobs are completed within 10 ms
    And the owner knows of no run that no endpoint has

  Scenario Outline: no task runs twice while endpoints restart, idle or full
    Given 6 endpoints of 8 cores
    And an owner of the cell
    When jobs come for 20 s while endpoints restart and owners change, with seed <seed>
    And 30000 ms pass
    Then no invariant was violated
    And all jobs are completed within 10 ms
    And the owner knows of no run that no endpoint has

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |
