Feature: worker owners enforce limits, capacity and leases

  Scenario: a lowered limit applies to running tasks within seconds
    Given a job site of 2 entry VMs and 4 workers of 8 cores, where a team may run 30 tasks
    And a batch job of 40 tasks of 60 s of which a task has been running for 2000 ms
    When the limit of the job site's team is lowered to 10
    Then within 6 s at most 10 tasks run at the job site, and at least 10 keep running

  Scenario: tasks that use more than their booking are throttled before they are stopped
    Given a job site of 1 entry VMs and 1 workers of 8 cores, where a team may run 30 tasks
    When 8 tasks that use 3 times their size run at the job site for 30 s
    Then they were throttled at the job site, and none was stopped

  Scenario: two schedulers share a site until the older one has drained
    Given a job site of 2 entry VMs and 4 workers of 8 cores, where a team may run 80 tasks
    And an older scheduler with 16 tasks of 1 core and 8 s, which starts draining after 60 s, for 60 s
    When 600 tasks of 4 s and a service of 40 tasks are submitted to the job site, and 200 s pass
    Then the older scheduler kept at least 8 of its tasks before it drained
    And after it drained the job site used on average at least 30 of its 32 cores
    And starts refused at the job site were at most 20% of all

  Scenario Outline: exchange over HTTP with a worker stand-in: <fault>
    Given a worker stand-in served over HTTP
    When an owner starts a task there with <fault>
    Then the exchange of the stand-in ends as <outcome> and the task ran <starts> times

    Examples:
      | fault           | outcome    | starts |
      | none            | answered   | 1      |
      | lost answer     | unknown    | 1      |
      | no listener     | never-sent | 0      |
      | lower epoch     | answered   | 0      |
      | old sequence    | answered   | 0      |
      | expired lease   | answered   | 0      |
      | old incarnation | answered   | 0      |
      | too large       | answered   | 0      |

  Scenario Outline: the peer codec preserves messages of jobs and workers: <message>
    Then the peer codec preserves every field of <message>

    Examples:
      | message         |
      | TaskOrders      |
      | TaskNewsBatch   |
      | TasksOfShard    |
      | RoomSummary     |
      | ReserveGang     |
      | ForwardSubmit   |
      | ForwardedAnswer |
      | KeepJobs        |
