Feature: what was cancelled does not run, in whichever order the store writes

  The store may carry out an unanswered write seconds later, after newer ones.

  # Guards against a job that appears after its cancelling was acknowledged.
  # "late": not answered, and carried out at "apply"; "old submit": by a VM of
  # a build before.
  Scenario Outline: a job and its cancellation, in each order
    Given two VMs that share a store
    When callers do "<calls>" for one job, at the VMs in turn
    Then they get the results "<results>"
    And the owner, told of what the store wrote, <runs> the job
    And a caller then gets the state <state>

    Examples:
      | calls                                  | results                                | runs         | state     |
      | submit                                 | accepted                               | starts       | queued    |
      | cancel                                 | not-found                              | lacks        | not-found |
      | submit late, apply                     | outcome-unknown                        | starts       | queued    |
      | submit late, cancel, apply             | outcome-unknown, not-found             | lacks        | not-found |
      | submit late, cancel, cancel, apply     | outcome-unknown, not-found, not-found  | lacks        | not-found |
      | submit late, cancel, submit, apply     | outcome-unknown, not-found, accepted   | cancels      | cancelled |
      | submit late, cancel late, cancel, apply | outcome-unknown, outcome-unknown, not-found | lacks  | not-found |
      | submit late, apply, cancel             | outcome-unknown, accepted              | cancels      | cancelled |
      | submit late, submit, cancel, apply     | outcome-unknown, accepted, accepted    | cancels      | cancelled |
      | submit, cancel late, apply             | accepted, outcome-unknown              | cancels      | cancelled |
      | submit, cancel, cancel                 | accepted, accepted, accepted           | cancels      | cancelled |
      | cancel, submit                         | not-found, accepted                    | cancels      | cancelled |
      | cancel, submit, submit                 | not-found, accepted, accepted          | cancels      | cancelled |
      | cancel late, submit, apply             | outcome-unknown, accepted              | starts       | queued    |
      | cancel, old submit                     | not-found, accepted                    | cancels      | cancelled |

  # Guards against callers that fill the store with cancellations.
  Scenario: few cancellations of jobs that do not exist are stored in a second
    Given a VM whose clock stands still
    When callers cancel 30 jobs that do not exist, all at one VM
    Then 20 of them get the result not-found
    And 10 of them get the result unavailable, ran no
    And the store holds 20 cancellations

  # Guards against cancellations that stay for good, and against those that go
  # while a write of their job may be under way.
  Scenario Outline: the owner removes the cancellations of jobs that never came
    Given two VMs that share a store
    And an owner that was told of <count> cancellations of jobs that do not exist
    And <submitted> of these jobs were submitted since
    When <wait_s> s pass for the owner
    Then the store holds <left> cancellations
    And the owner keeps <left> cancellations

    Examples:
      | count | submitted | wait_s | left |
      | 3     | 0         | 50     | 3    |
      | 3     | 0         | 80     | 0    |
      | 40    | 0         | 80     | 0    |
      | 40    | 2         | 80     | 2    |
