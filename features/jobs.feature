Feature: jobs run exactly where and as often as they should

  Entry VMs own shards of jobs and of workers, replicate the jobs of a shard
  to each other, and order tasks from the owners of workers. The tests guard
  against tasks that are lost, that run twice or go on after a cancellation,
  against resources and tokens that are never released, against gangs that
  run in part, and against services that lose replicas. These failures come
  from VMs that crash, stop or pause past their lease, from messages and
  exchanges with workers that are lost, late or duplicated, and from workers
  that restart, disappear, fail or refuse tasks.

  Scenario Outline: a job that is not allowed or can never run is refused at once: <code> for <count> <class> tasks of <cores> cores
    Given a job site of 2 entry VMs and 4 workers of 8 cores, where a team may run 40 tasks
    When a job of <count> <class> tasks of <cores> cores is submitted by team <team>, urgent <urgent>
    Then the job site refuses it with <code> and runs none of its tasks

    Examples:
      | count | class   | cores | team | urgent | code        |
      | 0     | batch   | 1     | a    | no     | bad-input   |
      | 1     | request | 1     | a    | no     | bad-input   |
      | 1     | batch   | 0     | a    | no     | bad-input   |
      | 1     | batch   | 1     | none | no     | not-allowed |
      | 1     | batch   | 1     | slow | yes    | not-allowed |
      | 1     | gang    | 1     | slow | no     | not-allowed |
      | 1     | batch   | 9     | a    | no     | never-fits  |
      | 5     | gang    | 8     | a    | no     | never-fits  |
      | 41    | gang    | 0.1   | a    | no     | never-fits  |

  Scenario: the wait and the run time of every task are recorded once
    Given a job site of 1 entry VMs and 1 workers of 8 cores, where a team may run 80 tasks
    And a batch job of 24 tasks of 6 s of which a task has been running for 3 ms
    Then every task of the job succeeds exactly once within 240 s
    And the job site recorded 24 waits: 8 under 2 s, and 16 over 5 s
    And the job site recorded 24 run times between 5 s and 9 s

  Scenario Outline: a batch job survives: <fault>, after <delay> ms
    Given a job site of 4 entry VMs and 6 workers of 8 cores, where a team may run 80 tasks
    And a batch job of 60 tasks of 6 s of which a task has been running for <delay> ms
    When this happens at the job site: <fault>
    Then every task of the job succeeds exactly once within 240 s
    And the job site holds no resources and no tokens any more

    Examples:
      | delay  | fault                                          |
      | 3      | none                                           |
      | 3      | job owner crashes                              |
      | 3      | worker owner crashes                           |
      | 3000   | worker owner crashes                           |
      | 3      | two VMs crash                                  |
      | 3000   | every VM is replaced in turn                   |
      | 3      | every VM stops gracefully in turn              |
      | 3      | job owner pauses past the lease                |
      | 3      | worker owner pauses past the lease             |
      | 3000   | worker owner pauses past the lease             |
      | 3      | worker owner pauses for 5 s                    |
      | 3      | each third answer is lost                      |
      | 3000   | each third exchange arrives 25 s late          |
      | 3      | each third exchange arrives 3 s late           |
      | 3      | each fifth message is lost                     |
      | 3      | each third message comes twice, late           |
      | 3      | each fifth message is 4 s late                 |
      | 3      | orders are lost for 5 s                        |
      | 3      | a worker is cut off for 30 s                   |
      | 3      | a worker is paused for 30 s                    |
      | 3000   | a worker restarts                              |
      | 3      | a worker goes for good                         |
      | 3      | a worker fails all it starts                   |
      | 3      | a worker refuses all starts                    |
      | 3      | a worker's clock is 2% slow                    |
      | 3      | worker owner crashes while answers are lost    |
      | 3      | job owner crashes while messages come twice    |
      | 3      | worker owner crashes while a worker is cut off |

  Scenario: an old owner that cannot reach its workers does not report its tasks as lost
    Given a job site of 4 entry VMs and 6 workers of 8 cores, where a team may run 80 tasks
    And a batch job of 40 tasks of 40 s of which a task has been running for 500 ms
    When this happens at the job site: worker owner is declared dead and cannot reach its workers
    Then every task of the job succeeds exactly once within 240 s
    And the job site holds no resources and no tokens any more

  Scenario Outline: a submission repeated with its key makes one job: <fault> in between
    Given a job site of 4 entry VMs and 4 workers of 8 cores, where a team may run 80 tasks
    When a job is submitted with a key on vm0, then <fault>, then again on vm1
    Then both submissions to the job site are answered with the same job
    And another job under the same key is refused as a conflict

    Examples:
      | fault             |
      | none              |
      | job owner crashes |

  Scenario Outline: an answered call survives the crash of the job owner <delay> ms later: <call>
    Given a job site of 3 entry VMs and 4 workers of 8 cores, where a team may run 60 tasks
    When a job owner of the job site crashes <delay> ms after it answered <call>, and its other messages in flight are lost
    Then the job of the job site still <outcome>

    Examples:
      | delay  | call   | outcome            |
      | 0      | submit | succeeds           |
      | 1      | submit | succeeds           |
      | 0      | cancel | shows as cancelled |
      | 1      | cancel | shows as cancelled |

  Scenario Outline: a cancelled job leaves no task running: cancelled after <delay> ms, <fault>
    Given a job site of 3 entry VMs and 4 workers of 8 cores, where a team may run 60 tasks
    When a batch job of 60 tasks is cancelled <delay> ms after it was accepted, with <fault>
    Then no task of the job runs at the job site after 45 s, and it shows as cancelled
    And the job site holds no resources and no tokens any more

    Examples:
      | delay  | fault                                |
      | 0      | none                                 |
      | 1      | none                                 |
      | 3      | none                                 |
      | 5      | each third answer is lost            |
      | 5      | each fifth message is lost           |
      | 3      | each third message comes twice, late |
      | 1      | worker owner crashes                 |
      | 3      | job owner crashes                    |
      | 500    | job owner pauses past the lease      |

  Scenario Outline: a gang starts as a whole or not at all: <fault>
    Given a job site of 3 entry VMs and 4 workers of 8 cores, where a team may run 90 tasks
    When two gangs of 20 tasks and a batch job of 30 tasks are submitted, then <fault>
    Then all three jobs of the job site succeed within 300 s
    And no gang of the job site ran in part for over 14 s

    Examples:
      | fault                      |
      | none                       |
      | job owner crashes          |
      | worker owner crashes       |
      | each third answer is lost  |
      | each fifth message is lost |
      | a worker restarts          |

  Scenario: a task without a job record is stopped
    Given a job site of 3 entry VMs and 4 workers of 8 cores, where a team may run 60 tasks
    When a service of 4 replicas runs, its caller gives up, and its owner crashes before the job is replicated
    Then nothing runs at the job site after 30 s

  Scenario: a large gang is not starved by a stream of small tasks
    Given a job site of 3 entry VMs and 4 workers of 8 cores, where a team may run 90 tasks
    When 600 batch tasks of 5 s are queued and then a gang of 4 tasks of 8 cores
    Then the gang of the job site ends within 90 s, before the stream

  Scenario Outline: a service is kept at its count and spread over racks: <fault>
    Given a job site of 3 entry VMs and 12 workers of 8 cores, where a team may run 60 tasks
    And a service of 6 replicas that runs
    When this happens at the job site: <fault>
    Then within 60 s the service has 6 replicas on 3 racks again

    Examples:
      | fault                     |
      | none                      |
      | job owner crashes         |
      | worker owner crashes      |
      | a worker restarts         |
      | a worker goes for good    |
      | each third answer is lost |

  Scenario Outline: urgent work preempts, checkpointable work first, victims resume: <fault>
    Given a job site of 3 entry VMs and 4 workers of 8 cores, where a team may run 60 tasks
    And a site filled by 20 checkpointable and 20 other tasks of 30 s
    When 3 urgent tasks are submitted, with <fault>
    Then each urgent task of the job site starts within 4100 ms
    And only checkpointable tasks of the job site were ended early
    And both jobs that filled the job site succeed within 240 s

    Examples:
      | fault                     |
      | none                      |
      | each third answer is lost |

  Scenario: cancelling costs the same however much is queued
    Then cancelling one of 2000 queued jobs costs at most 1.2 times the calls of one of 200
