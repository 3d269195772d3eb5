Feature: each request ends once, with a correct report of its execution

  The tests run edges and owners of runners in virtual time, with faulty
  runners, links and entry VMs. They guard against requests that are answered
  twice or never, executed again though not idempotent, or reported as not
  executed though a runner executed them; against runners above their slots
  and teams above their limit; and against retries without bound. These
  failures come about when a runner hangs, refuses or breaks the connection,
  when an entry VM or link is lost with attempts in flight, when messages
  arrive twice or late, and when shards move or keys are withdrawn meanwhile.

  Scenario Outline: requests: every runner has a fault
    Given requests: <vms> entry VMs with 2 runners of 2 slots
    And requests: every runner has the fault <fault>
    When requests: 1 request arrives, idempotent <idempotent>
    And requests: 9000 ms pass
    Then requests: it ended as <result>
    And requests: it was executed <min_count> to <max_count> times
    And requests: no invariant was violated

    Examples:
      | vms | fault   | idempotent | result                  | min_count | max_count |
      | 1   | none    | no         | answered 200            | 1         | 1         |
      | 1   | error   | no         | answered 500            | 1         | 1         |
      | 1   | hang    | no         | outcome-unknown unknown | 1         | 1         |
      | 1   | hang    | yes        | outcome-unknown unknown | 1         | 1         |
      | 1   | cut     | no         | outcome-unknown unknown | 1         | 1         |
      | 1   | cut     | yes        | outcome-unknown unknown | 2         | 4         |
      | 1   | refuse  | no         | overloaded no           | 0         | 0         |
      | 2   | refuse  | no         | overloaded no           | 0         | 0         |
      | 1   | down    | no         | runner-failed no        | 0         | 0         |
      | 2   | down    | yes        | runner-failed no        | 0         | 0         |
      | 1   | leaving | no         | no-runner no            | 0         | 0         |

  Scenario Outline: requests: one runner of four has a fault
    Given requests: 2 entry VMs with 4 runners of 2 slots
    And requests: runner 0 has the fault <fault>
    When requests: 200 requests arrive, one each 25 ms, idempotent <idempotent>
    And requests: 9000 ms pass
    Then requests: at least <answered> were answered with 200
    And requests: no invariant was violated

    Examples:
      | fault   | idempotent | answered |
      | refuse  | no         | 200      |
      | down    | no         | 200      |
      | leaving | no         | 200      |
      | slow    | no         | 200      |
      | cut     | yes        | 200      |
      | cut     | no         | 190      |
      | hang    | no         | 190      |
      | error   | no         | 190      |

  Scenario Outline: requests: admission
    Given requests: 1 entry VMs with 2 runners of 2 slots
    When requests: a request of team <team> arrives for queue <queue>
    And requests: 4000 ms pass
    Then requests: it ended as <result>
    And requests: no invariant was violated

    Examples:
      | team      | queue | result         |
      | huts      | holds | answered 200   |
      | no-key    | holds | key-refused no |
      | no-key    | open  | answered 200   |
      | huts      | open  | answered 200   |
      | unknown   | holds | key-refused no |
      | unknown   | open  | key-refused no |
      | strangers | holds | not-allowed no |
      | strangers | open  | answered 200   |
      | huts      | none  | not-found no   |
      | huts      | idle  | no-runner no   |

  Scenario Outline: requests: an entry VM that has not settled refuses all requests
    Given requests: 1 entry VMs with 2 runners of 2 slots
    And requests: the entry VM has not settled
    When requests: a request of team <team> arrives for queue <queue>
    And requests: 4000 ms pass
    Then requests: it ended as unavailable no
    And requests: no invariant was violated

    Examples:
      | team    | queue |
      | huts    | holds |
      | no-key  | open  |
      | unknown | holds |

  Scenario Outline: requests: an entry VM is lost with attempts in flight
    Given requests: 2 entry VMs with 2 runners of 2 slots
    When requests: 20 requests arrive at once, idempotent <idempotent>
    And requests: 10 ms pass
    And requests: the other entry VM is lost by <how>
    And requests: 9000 ms pass
    Then requests: at least <answered> were answered with 200
    And requests: at least <unknown> ended as outcome-unknown unknown
    And requests: no invariant was violated

    Examples:
      | idempotent | how                                        | answered | unknown |
      | yes        | its death                                  | 20       | 0       |
      | no         | its death                                  | 5        | 5       |
      | yes        | a report of its death                      | 20       | 0       |
      | no         | a report of its death                      | 5        | 5       |
      | yes        | a broken link                              | 20       | 0       |
      | no         | a broken link                              | 5        | 5       |
      | yes        | a link failure reported to entry VM 0 only | 20       | 0       |

  Scenario: requests: a late answer to an abandoned attempt is dropped
    Given requests: 2 entry VMs with 2 runners of 2 slots
    When requests: 20 requests arrive at once, idempotent yes
    And requests: 10 ms pass
    And requests: the other entry VM is lost by a link failure reported to entry VM 0 only
    And requests: 9000 ms pass
    Then requests: late answers were dropped
    And requests: no invariant was violated

  Scenario: requests: the answer of another entry VM never comes
    Given requests: 2 entry VMs with 2 runners of 2 slots
    When requests: 20 requests arrive at once, idempotent no
    And requests: the other entry VM is lost by silence
    And requests: 9000 ms pass
    Then requests: at least 5 were answered with 200
    And requests: at least 5 ended as deadline-exceeded unknown
    And requests: no invariant was violated

  Scenario: requests: queued requests of a lost edge are not executed
    Given requests: 2 entry VMs with 1 runners of 2 slots
    And requests: every runner has the fault slow
    When requests: 10 requests arrive at once, idempotent no
    And requests: 5 ms pass
    And requests: entry VM 0 is lost by its death
    And requests: all shards move to entry VM 1
    And requests: 9000 ms pass
    Then requests: the runners executed at most 2 requests

  Scenario: requests: every peer message arrives twice
    Given requests: 3 entry VMs with 3 runners of 2 slots
    And requests: every peer message arrives twice
    When requests: 60 requests arrive at once, idempotent no
    And requests: 9000 ms pass
    Then requests: at least 60 were answered with 200
    And requests: no invariant was violated

  Scenario Outline: requests: a key is withdrawn while requests are queued
    Given requests: <vms> entry VMs with 1 runners of 2 slots
    When requests: 10 requests arrive at once, idempotent no
    And requests: 5 ms pass
    And requests: the key is withdrawn and the update <update>
    And requests: 9000 ms pass
    Then requests: at least 2 were answered with 200
    And requests: at least 8 ended as key-refused no
    And requests: no invariant was violated

    Examples:
      | vms | update  |
      | 1   | arrives |
      | 2   | arrives |

  Scenario: requests: keys are checked again without an update
    Given requests: 1 entry VMs with 1 runners of 2 slots
    And requests: every runner has the fault hang
    When requests: 10 requests arrive at once, idempotent no
    And requests: the key is withdrawn and the update is lost
    And requests: 2000 ms pass
    Then requests: at least 8 ended as key-refused no

  Scenario: requests: a deadline passes in the queue
    Given requests: 1 entry VMs with 1 runners of 2 slots
    And requests: every runner has the fault hang
    When requests: 2 requests arrive at once, idempotent no
    And requests: a request arrives with 300 ms left
    And requests: 350 ms pass
    Then requests: it ended as deadline-exceeded no
    And requests: it was executed 0 to 0 times

  Scenario: requests: a slot is free only after the deadline
    Given requests: 1 entry VMs with 1 runners of 1 slots
    When requests: 1 request arrives, idempotent no
    And requests: a request arrives with 15 ms left
    And requests: 40 ms pass
    Then requests: it ended as deadline-exceeded no
    And requests: it was executed 0 to 0 times

  Scenario Outline: requests: a leaving runner gets nothing new
    Given requests: 1 entry VMs with 2 runners of 2 slots
    When requests: 4 requests arrive at once, idempotent no
    And requests: 5 ms pass
    And requests: runner 0 is leaving according to <source>
    And requests: 100 ms pass
    And requests: 40 requests arrive, one each 25 ms, idempotent no
    And requests: 3000 ms pass
    Then requests: at least 44 were answered with 200
    And requests: runner 0 executed nothing of the last 40
    And requests: no invariant was violated

    Examples:
      | source         |
      | the platform   |
      | its own report |

  Scenario Outline: requests: retries are bounded while every attempt fails
    Given requests: 2 entry VMs with 4 runners of 2 slots
    And requests: every runner has the fault <fault>
    When requests: 300 requests arrive, one each 10 ms, idempotent yes
    And requests: 9000 ms pass
    Then requests: 1 to 40 retries were made
    And requests: no invariant was violated

    Examples:
      | fault  |
      | cut    |
      | refuse |
      | down   |

  Scenario: requests: runners that refuse receive few requests
    Given requests: 1 entry VMs with 2 runners of 8 slots
    And requests: every runner has the fault refuse
    When requests: 300 requests arrive, one each 10 ms, idempotent no
    And requests: 6000 ms pass
    Then requests: the runners received at most 30 requests
    And requests: no invariant was violated

  Scenario: requests: excess requests are shed from the team above its share
    Given requests: 1 entry VMs with 1 runners of 2 slots
    When requests: 2000 requests of team huts arrive at once
    And requests: 20 requests of team maps arrive, one each 50 ms
    And requests: 20000 ms pass
    Then requests: every request of team maps was answered
    And requests: requests of team huts were refused as overloaded with a retry time
    And requests: no invariant was violated

  Scenario Outline: requests: an entry VM stops gracefully
    Given requests: 2 entry VMs with 4 runners of 2 slots
    When requests: 40 requests arrive at once, idempotent no
    And requests: 5 ms pass
    And requests: entry VM <stopped> is asked to stop
    And requests: all shards move to entry VM <new_owner>
    And requests: 4000 ms pass
    Then requests: at least 40 were answered with 200
    And requests: entry VM <stopped> has nothing in flight
    And requests: no invariant was violated

    Examples:
      | stopped | new_owner |
      | 0       | 1         |
      | 1       | 0         |

  Scenario: requests: a stopping entry VM refuses new requests
    Given requests: 1 entry VMs with 1 runners of 2 slots
    When requests: entry VM 0 is asked to stop
    And requests: 1 request arrives, idempotent no
    Then requests: it ended as leaving no

  Scenario: requests: slots in use by a lost owner are not given out again
    Given requests: 2 entry VMs with 2 runners of 2 slots
    And requests: every runner has the fault slow
    When requests: 8 requests arrive at once, idempotent yes
    And requests: 10 ms pass
    And requests: the other entry VM is lost by its death
    And requests: all shards move to entry VM 0
    And requests: 9000 ms pass
    Then requests: at least 8 were answered with 200
    And requests: the runners received at most 14 requests
    And requests: no invariant was violated

  Scenario: requests: slots that others use are not assigned
    Given requests: 1 entry VMs with 1 runners of 8 slots
    And requests: others use 6 slots of every runner
    When requests: 60 requests arrive at once, idempotent no
    And requests: 4000 ms pass
    Then requests: at least 60 were answered with 200
    And requests: the runners received at most 64 requests
    And requests: no invariant was violated

  Scenario: requests: the former owner of a shard sends nothing to its runners
    Given requests: 2 entry VMs with 4 runners of 2 slots
    When requests: 40 requests arrive, one each 10 ms, idempotent no
    And requests: all shards move to entry VM 0
    And requests: 10 ms pass
    And requests: the sent requests of entry VM 1 are counted
    And requests: 40 requests arrive, one each 10 ms, idempotent no
    And requests: 6000 ms pass
    Then requests: entry VM 1 sent no more requests
    And requests: at least 80 were answered with 200
    And requests: no invariant was violated

  Scenario: requests: requests wait while the shards have no owner
    Given requests: 2 entry VMs with 4 runners of 2 slots
    When requests: 10 requests arrive while no entry VM owns the shards, for 1500 ms
    And requests: 1000 ms pass
    Then requests: at least 10 were answered with 200
    And requests: no invariant was violated

  Scenario: requests: an unknown outcome keeps its slot and token
    Given requests: 1 entry VMs with 1 runners of 2 slots
    And requests: every runner has the fault hang
    When requests: 2 requests arrive at once, idempotent no
    And requests: 6000 ms pass
    Then requests: 2 tokens are held
    When requests: 5 requests arrive at once, idempotent no
    And requests: 1000 ms pass
    Then requests: the runners received at most 2 requests
    When requests: every runner is restarted
    And requests: 20000 ms pass
    Then requests: 0 tokens are held
    When requests: 1 request arrives, idempotent no
    And requests: 1000 ms pass
    Then requests: it ended as answered 200

  Scenario Outline: requests: a team never has more running than its limit
    Given requests: 2 entry VMs with 4 runners of 2 slots
    And requests: the limit of team huts is <limit>
    When requests: 40 requests arrive at once, idempotent no
    And requests: 6000 ms pass
    Then requests: at least <answered> were answered with 200
    And requests: at most <limit> of team huts ran at a time
    And requests: no invariant was violated

    Examples:
      | limit | answered |
      | 1     | 40       |
      | 3     | 40       |
      | 0     | 0        |

  Scenario: requests: a request starts after its connection broke
    Given requests: 1 entry VMs with 1 runners of 4 slots
    And requests: every runner has the fault late
    And requests: work takes 300 ms
    And requests: the limit of team huts is 1
    When requests: 6 requests arrive at once, idempotent no
    And requests: 9000 ms pass
    Then requests: at most 1 of team huts ran at a time
    And requests: no invariant was violated

  Scenario Outline: requests: only the current attempt can end a request
    Given requests: an isolated edge with owners
    When requests: a request's first attempt ends unknown
    And requests: attempt <attempt> ends answered by <sender>
    Then requests: the request is <state>

    Examples:
      | sender            | attempt | state    |
      | the current owner | 2       | answered |
      | the current owner | 1       | pending  |
      | the first owner   | 2       | pending  |
      | the first owner   | 1       | pending  |

  Scenario Outline: requests: retries are charged to the team's budget
    Given requests: an isolated edge with owners
    When requests: 200 requests reach it and every attempt ends <outcome>
    Then requests: it made <retries> retries
    When requests: 54 requests reach it and every attempt ends answered
    And requests: 200 requests reach it and every attempt ends <outcome>
    Then requests: it made <total> retries

    Examples:
      | outcome    | retries | total |
      | unknown    | 20      | 30    |
      | overloaded | 20      | 30    |

  Scenario: requests: attempts at one request are bounded
    Given requests: an isolated edge with owners and a large budget
    When requests: 1 requests reach it and every attempt ends unknown for 5 s
    Then requests: it made 3 retries

  Scenario: requests: the load that comes with an answer is used
    Given requests: an isolated edge with owners
    When requests: an owner answers and reports that it is full
    And requests: 20 more requests reach it
    Then requests: none of them went to that owner

  Scenario: requests: the load of an entry VM that is not alive is ignored
    Given requests: an isolated edge
    When requests: it receives the load of an entry VM that is not alive
    And requests: a request reaches it
    Then requests: it sent no attempt

  Scenario Outline: requests: an edge limits pending requests by team
    Given requests: an isolated edge with a limit of 100 requests
    When requests: <huts> requests of huts and then <maps> of maps reach it
    Then requests: it admitted <admitted_huts> of huts and <admitted_maps> of maps

    Examples:
      | huts | maps | admitted_huts | admitted_maps |
      | 60   | 0    | 60            | 0             |
      | 150  | 0    | 100           | 0             |
      | 100  | 20   | 100           | 0             |
      | 70   | 40   | 70            | 30            |
      | 30   | 80   | 30            | 50            |

  Scenario: requests: random faults, losses, moves and withdrawals
    Then requests: in random runs no invariant is violated
