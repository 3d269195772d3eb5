Feature: bad workers are distinguished from bad jobs

  Scenario Outline: failures are attributed by where else they occur
    Given a quarantine policy
    When tasks end as <ends>
    Then the quarantined workers are <workers> and the bad jobs <jobs>

    Examples: job on worker, + succeeded or - failed
      | ends                                                      | workers | jobs  |
      | a1-                                                       | none    | none  |
      | a1- b1-                                                   | none    | none  |
      | a1- b1- c1-                                               | 1       | none  |
      | a1- b1- d1+ c1-                                           | none    | none  |
      | a1- a1- a1-                                               | none    | none  |
      | a2+ a1- a1- a1-                                           | 1       | none  |
      | a1- a2- a3-                                               | none    | a     |
      | a1- a2- a3+                                               | none    | none  |
      | a1- b1- a2- b2- c2- c1- d2-                               | none    | none  |
      | a1- b1- c1- a2- a3-                                       | 1       | none  |
      | a1- b1- c1- a2- a3- a4-                                   | none    | a     |
      | a1- a2- a3- b1- c1-                                       | none    | a     |
      | a1- a2- a3- b1- c1- d1-                                   | 1       | none  |
      | a1- a1- a1- a1- a1- a1- a1- a1- a1- a1-                   | none    | a     |

  Scenario Outline: a quarantined worker is probed, with growing gaps
    Given a quarantine policy
    And worker 1 is quarantined at 0 ms
    When probes at <probes> ms fail
    Then it may not be used at <before> ms but may be used at <after> ms

    Examples:
      | probes           | before | after  |
      | no               | 4999   | 5000   |
      | 5000             | 14999  | 15000  |
      | 5000,15000       | 34999  | 35000  |
      | 5000,15000,35000 | 74999  | 75000  |

  Scenario: one probe at a time
    Given a quarantine policy
    And worker 1 is quarantined at 0 ms
    When a probe begins at 5000 ms
    Then it may not be used at 6000 ms but may be used at 605000 ms

  Scenario: a probe that succeeds ends the quarantine
    Given a quarantine policy
    And worker 1 is quarantined at 0 ms
    When a probe begins at 5000 ms and succeeds
    Then it may be used at 5001 ms

  Scenario: a worker that fails again soon waits longer than the first time
    Given a quarantine policy
    And worker 1 is quarantined at 0 ms
    When probes at 5000,15000 ms fail
    And a probe begins at 35000 ms and succeeds
    And worker 1 is quarantined at 40000 ms
    Then it may not be used at 59999 ms but may be used at 60000 ms

  Scenario: the number of failure histories is bounded
    Given a quarantine policy that keeps the histories of at most 100 jobs
    When 1000 jobs fail once each on workers of their own
    Then it keeps 100 job histories
    And it keeps no worker history after all workers are removed
