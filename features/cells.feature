Feature: the owner of a cell schedules its jobs on its endpoints

  The tests run a cell against simulated endpoints and a simulated store.
  They guard against tasks that run twice, start before their steps are due or
  exceed a capacity or limit; against lost jobs, ends and cancellations; and
  against jobs that wait longer than needed. These failures come about when
  the owner, an endpoint or the store fails or is unreachable, when calls are
  delayed or unanswered, when endpoints are slow or fail every task, and when
  large tasks, queries to the policy service or accounts compete.

  Scenario Outline: a job runs once, with its steps in order
    Given <endpoints> endpoints of 4 cores
    And an owner of the cell
    When a job "j" of <first> tasks, then <second> tasks after them is submitted
    Then job "j" is completed within <max_ms> ms
    And no invariant was violated

    Examples:
      | endpoints | first | second | max_ms |
      | 1         | 1     | 1      | 1200   |
      | 4         | 6     | 3      | 1200   |
      | 2         | 16    | 8      | 1900   |

  Scenario Outline: a recurring job runs each occurrence once, when it is due
    Given 2 endpoints of 4 cores
    And an owner of the cell
    When a job "j" of 2 tasks is submitted that recurs <count> times every <gap_ms> ms
    And <before_ms> ms pass
    And the owner is lost for 50 ms
    And another VM takes over the cell
    Then job "j" is completed within <max_ms> ms
    And each occurrence of job "j" started once, within 150 ms of its time
    And no invariant was violated

    Examples:
      | count | gap_ms | before_ms | max_ms |
      | 3     | 1000   | 1900      | 2000   |
      | 2     | 0      | 20        | 1200   |

  Scenario Outline: a record that names <what> does not keep the owner from serving
    Given 2 endpoints of 4 cores
    And an owner of the cell
    When a job "j" of 2 tasks of 900 ms is submitted
    And 100 ms pass
    And the owner is lost for 50 ms
    And the stored record of job "j" names also <what>
    And another VM takes over the cell
    And 3 jobs of 2 tasks are submitted
    Then all jobs are completed within 4000 ms
    And no invariant was violated

    Examples:
      | what                     |
      | a step that it lacks     |
      | a task that a step lacks |

  Scenario Outline: a cancellation that is read before its job is not lost
    Given 2 endpoints of 4 cores
    And job "j" was <order> before the owner read the store
    When 2000 ms pass
    Then job "j" is reported as cancelled
    And 0 tasks were started

    Examples:
      | order                        |
      | cancelled and then submitted |
      | submitted and then cancelled |

  Scenario Outline: a new owner continues from the state of the store and the endpoints
    Given 6 endpoints of 4 cores
    And an owner of the cell
    When 6 jobs of 6 tasks are submitted
    And <before_ms> ms pass
    And the owner is lost for <away_ms> ms
    And another VM takes over the cell
    Then all jobs are completed within <max_ms> ms
    And no invariant was violated

    Examples:
      | before_ms | away_ms | max_ms |
      | 5         | 2000    | 4000   |
      | 50        | 2000    | 4000   |
      | 300       | 2000    | 4000   |
      | 560       | 2000    | 4000   |
      | 300       | 9000    | 4000   |

  Scenario: an unreachable endpoint delays only the jobs that have runs on it
    Given 6 endpoints of 4 cores
    And an owner of the cell
    When 6 jobs of 6 tasks are submitted
    And 300 ms pass
    And endpoint "e0" becomes unreachable
    And the owner is lost for 2000 ms
    And another VM takes over the cell
    And 10 jobs of 4 tasks are submitted
    Then all but 6 jobs are completed within 4000 ms
    And all jobs are completed within 12000 ms
    And no invariant was violated

  Scenario: a run of a cancelled job does not run on after a takeover
    Given 1 endpoints of 4 cores
    And an owner of the cell
    When a long-running job "j" of 1 tasks is submitted
    And 300 ms pass
    And endpoint "e0" becomes unreachable
    And job "j" is cancelled
    And 500 ms pass
    And the owner is lost for 2000 ms
    And endpoint "e0" is reachable again
    And another VM takes over the cell
    And 500 ms pass
    Then 0 tasks of job "j" run

  Scenario: a takeover does not wait again for runs that an earlier owner released
    Given 1 endpoints of 4 cores
    And account "team" is limited to 4 cores
    And an owner of the cell
    When a long-running job "j" of 4 tasks of account "team" is submitted
    And 300 ms pass
    And endpoint "e1" of 4 cores is added
    And a job "k" of 4 tasks of 20000 ms is submitted
    And 300 ms pass
    And endpoint "e0" becomes unreachable
    And 6500 ms pass
    And the owner is lost for 2000 ms
    And another VM takes over the cell
    And job "k" is cancelled
    And 500 ms pass
    Then 4 tasks of job "j" run
    And no invariant was violated

  Scenario Outline: an epoch counts as ended from when the VM has seen its end
    When a VM has seen <seen>
    Then epoch <epoch> is known to have ended <ended>

    Examples:
      | seen                               | epoch | ended       |
      | none at 5                          | 1     | at no time  |
      | owner 3 at 10                      | 2     | at 10       |
      | owner 3 at 10                      | 3     | at no time  |
      | owner 3 at 10, none at 20          | 3     | at 20       |
      | owner 3 at 10, none at 20          | 2     | at 10       |
      | owner 3 at 10, owner 5 at 30       | 3     | at 30       |
      | owner 3 at 10, none at 20, none at 40 | 3  | at 20       |

  Scenario Outline: a series of takeovers does not prolong the wait for a silent endpoint
    Given 1 endpoints of 4 cores
    And an owner of the cell
    When a long-running job "j" of 4 tasks is submitted
    And 300 ms pass
    And endpoint "e1" of 4 cores is added
    And endpoint "e0" is silent for later owners
    And <count> owners in turn take over the cell, each for <span_ms> ms
    And another VM takes over the cell
    And 2000 ms pass
    Then 4 tasks of job "j" run
    And no invariant was violated

    Examples: all start more than 7400 ms after the first owner was lost
      | count | span_ms |
      | 6     | 1250    |
      | 3     | 2500    |
      | 2     | 4000    |

    Examples: owners that are lost before a poll of theirs has failed
      | count | span_ms |
      | 16    | 470     |

  Scenario: a silent endpoint is waited for again after an owner has reached it
    Given 1 endpoints of 4 cores
    And an owner of the cell
    When a long-running job "j" of 4 tasks is submitted
    And 300 ms pass
    And endpoint "e1" of 4 cores is added
    And endpoint "e0" is silent for later owners
    And 2 owners in turn take over the cell, each for 1500 ms
    And endpoint "e0" is no longer silent
    And 1500 ms pass
    And endpoint "e0" is silent for later owners
    And 3 owners in turn take over the cell, each for 2300 ms
    Then 4 tasks were started
    And no invariant was violated

  Scenario: no lease is extended while the store lists the endpoint as silent
    Given 1 endpoints of 4 cores
    And an owner of the cell
    When a long-running job "j" of 4 tasks is submitted
    And 300 ms pass
    And endpoint "e1" of 4 cores is added
    And endpoint "e0" is silent for later owners
    And 2 owners in turn take over the cell, each for 1500 ms
    And the store becomes unavailable
    And endpoint "e0" is no longer silent
    And 1500 ms pass
    And endpoint "e0" is silent for later owners
    And the store is available again
    And 3 owners in turn take over the cell, each for 2300 ms
    Then no invariant was violated

  Scenario: a silent endpoint does not cost others their leases while the store is away
    Given 3 endpoints of 4 cores
    And an owner of the cell
    When a long-running job "j" of 12 tasks is submitted
    And 1000 ms pass
    And the owner is lost for 200 ms
    And endpoint "e0" becomes unreachable
    And another VM takes over the cell
    And endpoint "e0" refuses the first poll before any other answers
    And the store becomes unavailable
    And 8000 ms pass
    Then 8 tasks of job "j" run

  Scenario: no task runs twice after an answer whose record was not stored in time
    Given 1 endpoints of 4 cores
    And an owner of the cell
    When a long-running job "j" of 4 tasks is submitted
    And 300 ms pass
    And endpoint "e1" of 4 cores is added
    And 500 ms pass
    And endpoint "e0" is silent for later owners
    And a write to the store takes 1500 ms
    And another VM takes over the cell
    And 1200 ms pass
    And endpoint "e0" is no longer silent
    And 2000 ms pass
    And endpoint "e0" is silent for later owners
    And the owner is lost for 100 ms
    And a write to the store takes 6 ms
    And another VM takes over the cell
    And 9000 ms pass
    Then 4 tasks of job "j" run
    And no invariant was violated

  Scenario: an endpoint counts as listed while a record that does not list it is written
    Given leases inherited from epoch 2, of which "e0" has runs
    When endpoint "e0" leaves a poll unanswered
    And a record of silent endpoints is taken to be written
    And endpoint "e0" answers
    And a record of silent endpoints is taken to be written
    And a record of silent endpoints is reported as stored
    Then the lease of endpoint "e0" may not be extended
    When a record of silent endpoints is reported as stored
    Then the lease of endpoint "e0" may be extended

  Scenario Outline: no task runs twice while takeovers and silences of endpoints overlap
    Given 4 endpoints of 4 cores
    And an owner of the cell
    When a long-running job "j" of 6 tasks is submitted
    And owners <how> 40 times while endpoints fall silent, with seed <seed>
    And <wait_ms> ms pass
    Then 6 tasks of job "j" run
    And no invariant was violated

    Examples:
      | how         | seed | wait_ms |
      | change      | 1    | 9000    |
      | change      | 2    | 9000    |
      | change      | 3    | 9000    |
      | change      | 4    | 9000    |
      | change      | 5    | 9000    |
      | change      | 6    | 9000    |
      | are revoked | 1    | 11000   |
      | are revoked | 2    | 11000   |
      | are revoked | 3    | 11000   |
      | are revoked | 4    | 11000   |
      | are revoked | 5    | 11000   |
      | are revoked | 6    | 11000   |

  Scenario: a run that is not in the stored record is adopted, not stopped
    Given 1 endpoints of 4 cores
    And an owner of the cell
    When a long-running job "j" of 1 tasks is submitted
    And 300 ms pass
    And the stored record of job "j" is lost
    And the owner is lost for 2000 ms
    And another VM takes over the cell
    And 500 ms pass
    Then 1 tasks of job "j" run
    And 1 tasks were started

  Scenario: a run that was found by a poll is not started again after a takeover
    Given 1 endpoints of 4 cores
    And an owner of the cell
    When a long-running job "j" of 1 tasks is submitted
    And 300 ms pass
    And the stored record of job "j" is lost
    And the owner is lost for 2000 ms
    And another VM takes over the cell
    And 500 ms pass
    And endpoint "e1" of 4 cores is added
    And endpoint "e0" becomes unreachable
    And the owner is lost for 100 ms
    And another VM takes over the cell
    And 2000 ms pass
    Then 1 tasks were started
    And no invariant was violated

  Scenario: a run of a job that was stored without its steps does not end the cell
    Given 1 endpoints of 4 cores
    And an owner of the cell
    When a job "j" of 1 tasks is submitted
    And 1000 ms pass
    And endpoint "e0" lists run 9 of job "j" and becomes unreachable
    And 500 ms pass
    And another VM takes over the cell
    Then job "j" is reported as completed

  Scenario: an urgent job that ran long ago does not count as recent after a takeover
    Given 2 endpoints of 4 cores
    And account "team" is limited to 8 cores
    And an owner of the cell
    When an urgent job "u" of 1 tasks of account "team" is submitted
    And 8000 ms pass
    And another VM takes over the cell
    And 1 jobs of 8 tasks of account "team" are submitted
    And 200 ms pass
    Then 9 tasks were started

  Scenario: a task that is done gets no copy after a takeover
    Given 2 endpoints of 4 cores
    And an owner of the cell
    When a job "j" of 4 speculative tasks is submitted
    And 100 ms pass
    And endpoint "e0" becomes unreachable
    And a job "k" of 1 tasks of 20000 ms is submitted
    And 2300 ms pass
    And endpoint "e1" takes 999 times as long
    And 500 ms pass
    And the owner is lost for 300 ms
    And another VM takes over the cell
    And 2500 ms pass
    Then 9 tasks were started

  Scenario: a takeover does not read the whole of jobs that have ended
    Given 2 endpoints of 4 cores
    And an owner of the cell
    When 20 jobs of 6 tasks are submitted
    And a long-running job "s" of 1 tasks is submitted
    And 9000 ms pass
    And the owner is lost for 300 ms
    And another VM takes over the cell
    Then all but 1 jobs are completed within 1000 ms
    And no payload, steps or runs are stored for jobs that have ended
    And 1 tasks of job "s" run
    And no invariant was violated

  Scenario: tasks of an unreachable endpoint restart elsewhere after its lease
    Given 2 endpoints of 4 cores
    And an owner of the cell
    When a job "j" of 6 tasks is submitted
    And 100 ms pass
    And endpoint "e0" becomes unreachable
    Then job "j" is completed within 8000 ms
    And no invariant was violated
    And no task was restarted within 4900 ms of the fault

  Scenario Outline: a start that is executed late does not run a task twice
    Given 3 endpoints of 4 cores
    And an owner of the cell
    When endpoint "e0" executes starts <late_ms> ms late and does not answer
    And 4 jobs of 6 tasks are submitted
    And 3000 ms pass
    And endpoint "e0" answers again
    Then all jobs are completed within 20000 ms
    And no invariant was violated

    Examples:
      | late_ms |
      | 300     |
      | 1500    |
      | 2500    |

  Scenario Outline: a start whose answer is lost does not run a task twice
    Given 3 endpoints of 4 cores
    And an owner of the cell
    When all endpoints leave <unanswered> of 10 calls unanswered
    And a job of 4 tasks of <task_ms> ms is submitted every 200 ms for 10 s
    And all endpoints leave 0 of 10 calls unanswered
    Then all jobs are completed within <max_ms> ms
    And no invariant was violated

    Examples: at most three times the run time of all jobs on 12 cores
      | unanswered | task_ms | max_ms |
      | 2          | 250     | 12000  |
      | 5          | 250     | 12000  |
      | 5          | 700     | 35000  |
      | 8          | 250     | 12000  |

  Scenario: a job whose task always fails ends as failed after its attempts
    Given 4 endpoints of 4 cores
    And an owner of the cell
    When an always failing job "j" with 3 attempts is submitted
    And 5000 ms pass
    Then job "j" is reported as failed
    And 3 tasks were started

  Scenario: an endpoint that fails every task does not attract all tasks
    Given 4 endpoints of 4 cores
    And an owner of the cell
    When endpoint "e0" fails every task that it starts
    And 12 jobs of 3 tasks with 4 attempts are submitted
    Then all jobs are completed within 8000 ms
    And no invariant was violated

  Scenario Outline: a task that has failed does not fail again on the same endpoint
    Given <endpoints> endpoints of 4 cores
    And an owner of the cell
    When endpoint "e0" fails every task at once
    And <jobs> jobs of 3 tasks with 2 attempts are submitted
    Then all jobs are completed within 8000 ms
    And no invariant was violated

    Examples:
      | endpoints | jobs |
      | 4         | 1    |
      | 4         | 12   |
      | 8         | 40   |

  Scenario Outline: no account exceeds its limit
    Given 8 endpoints of 4 cores
    And account "team" is limited to <cap> cores
    And an owner of the cell
    When 8 jobs of 6 tasks of account "team" are submitted
    Then at most <cap> tasks run at a time
    And all jobs are completed within <max_ms> ms

    Examples:
      | cap | max_ms |
      | 4   | 8000   |
      | 10  | 4000   |

  Scenario: the members of a gang start and restart together
    Given 4 endpoints of 4 cores
    And an owner of the cell
    When a gang "g" of 8 tasks is submitted
    And 200 ms pass
    And endpoint "e1" restarts
    Then job "g" is completed within 3000 ms
    And no invariant was violated

  Scenario: no member of a gang is started if another one can't be
    Given 3 endpoints of 4 cores
    And an owner of the cell
    When a write to the store takes 300 ms
    And a gang "g" of 8 tasks is submitted
    And 100 ms pass
    And endpoint "e1" drains and leaves after 9000 ms
    Then job "g" is completed within 3000 ms
    And 8 tasks were started

  Scenario: a long-running task is restarted however it ends
    Given 3 endpoints of 4 cores
    And an owner of the cell
    When a long-running job "s" of 3 tasks is submitted
    And 300 ms pass
    And endpoint "e0" restarts
    And endpoint "e1" restarts
    And 2500 ms pass
    Then 3 tasks of job "s" run
    And no invariant was violated

  Scenario Outline: the log tells what an interrupted long-running task waits for
    Given <endpoints> endpoints of 4 cores
    And an owner of the cell
    When a long-running job "s" of 1 tasks is submitted
    And 300 ms pass
    And a fault befalls job "s": <fault>
    Then the log of 9000 ms tells that job "s" waits for "<reasons>"
    And the log tells each run of job "s" and who ordered it

    Examples:
      | endpoints | fault                                           | reasons                            |
      | 2         | its endpoint and the owner are lost             | an inherited run                   |
      | 2         | its endpoint and two owners are lost            | an inherited run, then an inherited run |
      | 1         | its endpoint is lost                            | no usable endpoint                 |
      | 2         | its endpoint is lost, and the other is full     | room                               |
      | 2         | its endpoint restarts while the store is away   | the store to take the record       |

  Scenario Outline: the log of a takeover names the runs that matter later
    Given 2 endpoints of 4 cores
    And an owner of the cell
    When a <kind> "j" of 2 tasks is submitted
    And 200 ms pass
    And the owner is lost for 10 ms
    And another VM takes over the cell
    Then the log names <count> restored runs

    Examples:
      | kind             | count |
      | long-running job | 2     |
      | job              | 0     |

  Scenario: a backlog of waiting tasks costs few log lines
    Given 1 endpoints of 4 cores
    And an owner of the cell
    When 60 long-running jobs of 1 tasks are submitted
    And 20000 ms pass
    Then 56 lines tell of waits

  Scenario Outline: tasks that cannot end before their endpoint leaves are moved
    Given 2 endpoints of 4 cores
    And an owner of the cell
    When a job "j" of 6 tasks of <task_ms> ms is submitted
    And 200 ms pass
    And endpoint "e0" drains and leaves after <left_ms> ms
    Then job "j" is completed within <max_ms> ms
    And no invariant was violated

    Examples:
      | task_ms | left_ms | max_ms |
      | 3000    | 2000    | 6500   |
      | 1500    | 2000    | 1500   |

  Scenario: a new owner moves tasks off an endpoint that drains already
    Given 2 endpoints of 4 cores
    And an owner of the cell
    When a job "j" of 6 tasks of 3000 ms is submitted
    And 200 ms pass
    And the owner is lost for 100 ms
    And endpoint "e0" drains and leaves after 2000 ms
    And another VM takes over the cell
    Then job "j" is completed within 6500 ms
    And no invariant was violated

  Scenario: endpoints discard ends only once they are stored
    Given 2 endpoints of 4 cores
    And an owner of the cell
    When 4 jobs of 4 tasks are submitted
    And 300 ms pass
    And the store is unavailable for 3000 ms
    Then all jobs are completed within 6000 ms
    And no invariant was violated

  Scenario: runs go on while the owner may only poll
    Given 2 endpoints of 4 cores
    And an owner of the cell
    When a long-running job "s" of 4 tasks is submitted
    And 300 ms pass
    And the lease of the owner's VM is not renewed for 2000 ms
    And a job "j" of 1 tasks is submitted
    And the owner is lost for 3500 ms
    Then 4 tasks of job "s" run
    And 0 tasks of job "j" run

  Scenario: no task starts before its placement is stored
    Given 2 endpoints of 4 cores
    And an owner of the cell
    When 200 ms pass
    And 2 jobs of 4 tasks are submitted while the store is unavailable for 1000 ms
    Then 0 tasks were started
    And all jobs are completed within 2000 ms

  Scenario: a stream of small tasks does not starve a large one
    Given 4 endpoints of 4 cores
    And an owner of the cell
    When a task of 1 cores is submitted every 100 ms with priority 2 for 12 s, and a task of 4 cores with priority 1 after 3 s
    Then the large task started within 1600 ms

  Scenario: a large task reserves the one endpoint that its policy allows
    Given 4 endpoints of 4 cores
    And an owner of the cell
    And the policy service allows the large task on "e2" only, after 400 ms
    And tasks take as little as half of their estimate
    When a task of 1 cores is submitted every 100 ms with priority 2 for 12 s, and a task of 4 cores with priority 1 after 3 s
    Then the large task started within 2600 ms

  Scenario Outline: slow endpoints do not delay jobs
    Given 4 endpoints of 4 cores
    And an owner of the cell
    When endpoint "e0" takes <times> times as long
    And a job of 4 <kind> tasks is submitted every 400 ms for 10 s
    And 3000 ms pass
    Then half of the jobs took at most <median_ms> ms, and all at most <max_ms> ms

    Examples:
      | kind        | times | median_ms | max_ms |
      | speculative | 8     | 650       | 2500   |
      | plain       | 8     | 650       | 4500   |
      | plain       | 999   | 650       | 4500   |

  Scenario: speculative tasks do not wait for an unreachable endpoint
    Given 4 endpoints of 4 cores
    And an owner of the cell
    When a job of 8 speculative tasks is submitted every 100 ms for 1 s
    And endpoint "e0" becomes unreachable
    Then all jobs are completed within 4000 ms

  Scenario Outline: jobs that exceed their estimates are left running
    Given 6 endpoints of 4 cores
    And an owner of the cell
    And tasks take 8 times their estimate
    When a job of <tasks> <kind> tasks is submitted every 5000 ms for 30 s
    Then all jobs are completed within 20000 ms
    And at most <max_count> more runs than needed were started

    Examples:
      | tasks | kind        | max_count |
      | 8     | plain       | 0         |
      | 8     | speculative | 0         |
      | 2     | plain       | 4         |

  Scenario: the policy service is not queried while no capacity is free
    Given 1 endpoints of 4 cores
    And an owner of the cell
    When 1 jobs of 4 tasks of 3000 ms are submitted
    And 100 ms pass
    And 10 jobs of 4 tasks that need tickets are submitted
    And 2000 ms pass
    Then the policy service was queried 0 times

  Scenario: no start is ordered whose ticket expired before it was stored
    Given 2 endpoints of 4 cores
    And an owner of the cell
    When a write to the store takes 2500 ms
    And 2 jobs of 2 tasks that need tickets are submitted
    And 9000 ms pass
    Then 0 tasks were started
    When a write to the store takes 6 ms
    Then all jobs are completed within 6000 ms
    And no invariant was violated

  Scenario Outline: no more policy queries are in flight than VMs can send
    Given 6 endpoints of 4 cores
    And an owner of the cell
    And <vms> VMs can query the policy service, which takes <query_ms> ms
    When 30 jobs of 2 tasks that need tickets are submitted
    Then all jobs are completed within <max_ms> ms
    And at most <queries> policy queries were in flight at a time

    Examples:
      | vms | query_ms | queries | max_ms |
      | 4   | 30       | 4       | 4000   |
      | 4   | 200      | 3       | 6000   |
      | 1   | 200      | 1       | 10000  |

  Scenario: many policy queries for one service do not delay another service
    Given 2 endpoints of 4 cores
    And 4 endpoints of 4 cores of service "other"
    And an owner of the cell
    And 4 VMs can query the policy service, which takes 500 ms
    When 80 jobs of 1 tasks of 700 ms that need tickets are submitted to service "svc" with priority 0
    And 1000 ms pass
    And 8 jobs of 4 tasks of 1000 ms that need tickets are submitted to service "other" with priority 2
    Then the jobs submitted last are completed within 5000 ms

  Scenario: each end needs about one poll
    Given 2 endpoints of 4 cores
    And an owner of the cell
    And a store that takes 25 ms a write
    When a job of 1 plain tasks is submitted every 200 ms for 10 s
    Then all jobs are completed within 2000 ms
    And at most 60 polls were sent in total

  Scenario: a job of one task takes two writes, at its start and at its end
    Given 2 endpoints of 4 cores
    And an owner of the cell
    When a job of 1 plain tasks is submitted every 200 ms for 10 s
    Then all jobs are completed within 2000 ms
    And at most 100 writes were made in total

  Scenario Outline: a series of faults violates no invariant
    Given 6 endpoints of 4 cores
    And an owner of the cell
    When random faults and jobs occur for 40 s with seed <seed>
    Then all jobs are completed within 40000 ms
    And no invariant was violated

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |
      | 7    |
      | 8    |
      | 9    |
      | 10   |
      | 11   |
      | 12   |
