Feature: callers get the most that full endpoints can give

  Due times and shares are counted from when a VM accepted a job, so that a
  new owner knows how late the jobs are that waited for it.

  Scenario: the VM that accepts a job stamps it
    Given a store that answers writes with done
    When a caller submits a job with a time-out of 1000 ms
    Then the job that the owner is told of carries the time of its accept

  Scenario Outline: jobs are exchanged with a build that stamps none
    Given a stored job that was accepted at <unix_ms>
    When it is stored by <writer> and read by <reader>
    Then the time of accept is <read_ms>

    Examples:
      | unix_ms       | writer         | reader         | read_ms       |
      | 1700000000000 | this build     | this build     | 1700000000000 |
      | 0             | the older      | this build     | 0             |
      | 1700000000000 | this build     | the older      | none          |

  Scenario Outline: after a time without an owner, who can be in time goes before who is late
    Given a shared cell of 1 endpoints of 1 cores
    And its owner is killed
    And a job "late" of 1000 ms is submitted, due within 3000 ms
    When there is no owner for <away_ms> ms
    And the next owner takes over
    And a job "new" of 1000 ms is submitted, due within 3000 ms
    And its callers wait 9000 ms
    Then its jobs end in the order <order>

    Examples:
      | away_ms | order     |
      | 500     | late, new |
      | 3000    | new, late |
      | 8000    | new, late |

  Scenario Outline: jobs that waited for an owner are within the share at their accept
    Given a shared cell of 1 endpoints of 4 cores
    And one account, of weight <weight>
    And its owner is killed
    When it submits a job each <gap_ms> ms for <away_ms> ms
    And the next owner takes over
    Then <within> of its jobs count as within its share

    Examples: an account within its weight, and one at seven times it
      | weight | gap_ms | away_ms | within |
      | 2      | 500    | 3000    | 6      |
      | 2      | 500    | 8000    | 16     |
      | 1      | 140    | 8000    | 9      |

  Scenario Outline: a clock that is off does not put the jobs of its VM last
    Given a shared cell of 1 endpoints of 4 cores
    When a job is read whose stamp is <off_ms> ms <way>
    Then its age is taken as <age_ms> ms

    Examples:
      | off_ms  | way       | age_ms |
      | 300     | ago       | 300    |
      | 2000    | ago       | 2000   |
      | 5000    | ago       | 0      |
      | 3600000 | ago       | 0      |
      | 5000    | in future | 0      |

  Scenario Outline: an account's share is its weight's part, in the resource of which it takes most
    Given a service of 10 cores, 100 GB and 10 accelerators
    And accounts "a" of weight <weight_a> and "b" of weight <weight_b>
    When runs of "a" take <of_a>, and of "b" <of_b>
    Then "a" takes <share> of it, and <surplus> more than its share of the use

    Examples: alone, at par, by the scarcest resource, by weight
      | weight_a | weight_b | of_a     | of_b     | share | surplus |
      | 1        | 1        | 10,10,0  | 0,0,0    | 1.0   | 0.0     |
      | 1        | 1        | 4,10,0   | 4,10,0   | 0.4   | 0.0     |
      | 1        | 1        | 1,60,0   | 4,10,0   | 0.6   | 0.1     |
      | 1        | 1        | 1,1,8    | 2,1,0    | 0.8   | 0.3     |
      | 3        | 1        | 6,10,0   | 2,10,0   | 0.6   | 0.0     |
      | 1        | 3        | 6,10,0   | 2,10,0   | 0.6   | 0.4     |

  Scenario Outline: shares change the order only where room is short
    Given a service of 10 cores, 100 GB and 10 accelerators
    And accounts "a" of weight 1 and "b" of weight 1
    When runs of "a" take <of_a>, and of "b" 0,0,0
    And a stage of "a" that is due first and one of "b" wait for <needed> cores each
    Then <first> is placed first

    Examples: room for both; for one; for none
      | of_a    | needed | first |
      | 6,10,0  | 1      | a     |
      | 6,10,0  | 4      | b     |
      | 10,10,0 | 1      | b     |
      | 4,10,0  | 4      | a     |

  Scenario Outline: callers get more than by due time alone, and than first come first served
    Given the load <load>
    When it is played with seed <seed>
    Then callers get <gain> more than in the earlier order
    And <gain> more than first come first served
    And no more than the room allows

    Examples: parts of the credit for all that was sent
      | load                                | seed | gain |
      | a wide urgent burst                 | 1    | 0.03 |
      | a wide urgent burst                 | 2    | 0.03 |
      | an account at seven times its usual | 1    | 0.01 |
      | an account at seven times its usual | 2    | 0.04 |
      | the same within its count           | 1    | 0.03 |
      | memory full                         | 1    | 0.08 |
      | memory full                         | 2    | 0.05 |
      | runs twice their estimates          | 1    | 0.0  |
      | a backlog after 8 s without owner   | 1    | 0.01 |

  Scenario Outline: accounts that keep to their usual get more beside one that does not
    Given the load <load>
    When it is played with seed <seed>
    Then accounts <accounts> get <gain> more than in the earlier order

    Examples:
      | load                                | seed | accounts | gain |
      | an account at seven times its usual | 1    | a, b     | 0.2  |
      | an account at seven times its usual | 2    | a, b     | 0.3  |
      | the same within its count           | 1    | a, b     | 0.2  |

  Scenario: gangs of accelerators among singles are all in time
    Given the load accelerators of 2 to 8 among singles
    When it is played with seed 1
    Then accounts a, b get all
    And callers get 0.05 more than first come first served

  Scenario Outline: estimates twice as long as the runs cost callers a fifth at most
    Given the load runs half their estimates
    When it is played with seed <seed>
    Then callers get at least 0.8 of what the room allows

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario Outline: what can no longer be in time waits behind what can, but not for ever
    Given a service of 1 cores, 100 GB and 10 accelerators
    When a stage of priority <old> waits for <times> times its objective, and a new one of priority <new>
    Then it is the <first> one that goes first

    Examples: in time, late, of no use, and starved
      | old | new | times | first |
      | 1   | 1   | 0.1   | old   |
      | 1   | 1   | 1.5   | new   |
      | 1   | 2   | 1.5   | old   |
      | 0   | 0   | 1.5   | new   |
      | 1   | 2   | 4     | new   |
      | 1   | 2   | 11    | old   |

  Scenario Outline: the time of an occurrence counts from when it is due, not from the accept of its job
    Given a service of 1 cores, 100 GB and 10 accelerators
    When an urgent occurrence opens <times> times its objective after the accept, and a batch of priority 2 waits
    Then it is the occurrence one that goes first

    Examples: in time, late, and of no use, if it counted from the accept
      | times |
      | 0.5   |
      | 2     |
      | 7     |
