Feature: an entry VM on a platform with a store
  # Outcomes of a write: done; exists (conflict); refused (not executed);
  # silent (outcome unknown); slow (no answer before the time-out).

  Scenario Outline: a submission is reported as accepted, not accepted or of unknown outcome
    Given a store that answers writes with <answers>
    When a caller submits a job with a time-out of 1000 ms
    Then the caller gets the result <result>

    Examples:
      | answers                 | result               |
      | done                    | accepted             |
      | exists                  | accepted             |
      | refused, done           | accepted             |
      | silent, exists          | accepted             |
      | silent, done            | accepted             |
      | refused                 | unavailable, ran no  |
      | silent                  | outcome-unknown      |
      | refused, silent         | outcome-unknown      |
      | silent, refused         | outcome-unknown      |
      | slow                    | outcome-unknown      |

  Scenario Outline: the owner is told of a job only by the VM whose write created it
    Given a store that answers writes with <answers>
    When a caller submits a job with a time-out of 1000 ms
    Then the owner is told of <count> jobs

    Examples:
      | answers       | count |
      | done          | 1     |
      | refused, done | 1     |
      | exists        | 0     |
      | silent        | 0     |

  Scenario Outline: an owner takes notices once it has read the cell
    Given a VM that <state>
    When another VM tells it of a job and of a cancellation
    Then it has taken <count> notices

    Examples:
      | state                      | count |
      | serves the cell alone      | 2     |
      | is still reading the cell  | 0     |

  Scenario: a caller does not wait until the owner has taken a notice
    Given an owner that takes no notices for 5 s
    When 200 jobs are accepted one after the other
    Then no caller has waited for the owner
    And some notices were dropped and logged

  Scenario Outline: a VM that the store refuses writes through the owner's VM
    Given a store that answers writes with refused
    And the owner's VM, whose store answers writes with <answers>
    When a caller submits a job with a time-out of 1000 ms
    Then the caller gets the result <result>

    Examples:
      | answers | result              |
      | done    | accepted            |
      | exists  | accepted            |
      | refused | unavailable, ran no |
      | silent  | outcome-unknown     |

  Scenario: another VM relays if the owner's VM cannot reach the store
    Given a store that answers writes with refused
    And the owner's VM, whose store answers writes with refused
    And one more VM, whose store answers writes with done
    When a caller submits a job with a time-out of 1000 ms
    Then the caller gets the result accepted

  Scenario Outline: an answer of the policy service that is read late extends no ticket
    Given a VM that reads an answer of the policy service after <read_ms> ms
    When it sends a policy query that is expected to take <query_ms> ms
    Then a ticket that is valid for 2000 ms is used until <until_ms> ms

    Examples:
      | query_ms | read_ms | until_ms |
      | 30       | 20      | 2020     |
      | 30       | 40      | 2030     |
      | 800      | 810     | 2800     |
      | 800      | 3500    | 2800     |

  Scenario: a start whose ticket has expired is not sent to the endpoint
    Given a VM that performs the orders of a cell
    When it is to start a task whose ticket expired 1 ms ago
    Then no call reaches the endpoint
    And the start counts as refused for want of a ticket

  Scenario: most submissions fail without a call to the store while it is unavailable
    Given a store that answers writes with refused
    When 40 callers submit jobs one after the other
    Then all get the result unavailable, ran no, after at most 3 calls to the store
    When the store answers writes with done again
    And the store renews the lease
    And 3 callers submit jobs one after the other
    Then all get the result accepted, after at most 6 calls to the store

  Scenario Outline: a VM without the store does not keep callers waiting
    Given a store that answers writes with <answers>
    And a lease that the store did not renew
    When a caller submits a job with a time-out of 3000 ms
    Then the caller gets the result unavailable, ran no
    And at most 0 calls were made to the store

    Examples:
      | answers |
      | silent  |
      | refused |

  Scenario Outline: a write that leaves no time for its answer is not begun
    Given a store that answers writes with done
    When a caller submits a job with a time-out of <timeout_ms> ms
    Then the caller gets the result unavailable, ran no
    And at most 0 calls were made to the store

    Examples:
      | timeout_ms |
      | 1          |
      | 100        |

  Scenario: a read without a result in time is unavailable, not of unknown outcome
    Given a store that answers reads after 5 s
    When a caller asks for the state of job "j" with a time-out of 300 ms
    Then the caller gets the result unavailable, ran no

  Scenario: a VM without the store does not keep callers waiting for a state
    Given a store that answers reads with errors
    And a lease that the store did not renew
    When a caller asks for the state of job "j" with a time-out of 3000 ms
    Then the caller gets the result unavailable, ran no
    And at most 0 calls were made to the store

  Scenario Outline: a cancellation is stored, or the job does not exist
    Given a store in memory that <holds> job "j"
    When a caller cancels job "j" <times> times
    Then the caller gets the result <result>

    Examples:
      | holds         | times | result    |
      | holds         | 1     | accepted  |
      | holds         | 2     | accepted  |
      | does not hold | 1     | not-found |

  Scenario: a cancellation that meets the owner's write of the job is stored
    Given a store in memory that holds job "j"
    And the owner writes job "j" anew just before the next write
    When a caller cancels job "j" 1 times
    Then the caller gets the result accepted

  Scenario Outline: without an owner, the state of a job comes from the store
    Given a store in memory that holds job "j"
    And the store holds <stored> of job "j"
    When a caller asks for the state of job "j"
    Then the state is <state>

    Examples:
      | stored                 | state     |
      | nothing                | queued    |
      | a running record       | running   |
      | a completed record     | completed |
      | a failed record        | failed    |
      | a cancellation         | cancelled |

  Scenario: few callers wait for an owner that does not answer
    Given a store in memory that holds job "j"
    And an owner of the cell that does not answer
    When 20 callers ask for the state of job "j" within 160 ms
    Then each gets the state queued
    And at most 1 calls were made to the owner
    When 400 ms have passed
    And 20 callers ask for the state of job "j" within 160 ms
    Then at most 2 calls were made to the owner

  Scenario: a VM gives up its cell when the session ends before the lease
    Given a store in memory
    And a VM that acquires the cell only once
    When its session ends while the lease is valid
    Then the cell has no owner

  Scenario Outline: a weak VM does not take a cell before a stronger one
    Given a VM of <own> cores, and others of <others> cores
    Then it yields for <yield_ms> ms

    Examples:
      | own  | others             | yield_ms |
      | 0.5  | no                 | 0        |
      | 0.5  | 0.5, 0.5           | 0        |
      | 2    | 0.5, 1, 2          | 0        |
      | 1    | 0.5, 1, 2          | 45       |
      | 0.5  | 0.5, 1, 2          | 67.5     |
      | 0.5  | unknown            | 0        |
      | 1    | unknown, 2         | 45       |
      | 0    | 2                  | 0        |
      | 0.01 | 1000               | 89.9991  |

  Scenario Outline: a weak VM gives the cell up for a much stronger one
    Given a VM of <own> cores that has owned the cell for <span_ms> ms, and others of <others> cores
    When it checks 3 times, 300 ms apart, whether to give the cell up
    Then it has given the cell up <count> times

    Examples:
      | own | others    | span_ms | count |
      | 0.5 | 0.5, 2    | 900     | 1     |
      | 0.5 | 0.5, 2    | 100     | 0     |
      | 0.5 | 0.5, 0.7  | 5000    | 0     |
      | 1.5 | 2, 2.2    | 5000    | 0     |
      | 0.5 | unknown   | 5000    | 0     |
      | 0   | 2         | 5000    | 0     |

  Scenario: a VM that yields leaves the cell to the one that took it meanwhile
    Given a store in memory
    When another VM acquires the cell while this one yields
    Then this VM leaves it to the other

  Scenario Outline: records of VMs of other versions are read
    When the record <record> of a VM is read
    Then its capacity is <cores> cores

    Examples:
      | record                                             | cores |
      | {"vm_id":"a","address":"a:1"}                      | 0     |
      | {"vm_id":"a","address":"a:1","capacity":1.5}       | 1.5   |
      | {"vm_id":"a","address":"a:1","capacity":2,"new":7} | 2     |

  Scenario Outline: the ownership of a process that has ended is revoked
    Given a store in memory
    And an owner whose process <what>
    When a VM monitors it <until>
    Then the ownership <revoked> revoked

    Examples:
      | what                                        | until            | revoked |
      | answers                                     | for 400 ms       | is not  |
      | does not answer yet                         | for 400 ms       | is not  |
      | refuses connections                         | until it revokes | is      |
      | breaks its connections and accepts new ones | for 400 ms       | is not  |
      | has started again                           | until it revokes | is      |
      | ran on the VM that monitors it              | until it revokes | is      |
      | refuses connections and gave no lease       | for 400 ms       | is not  |
      | has lost the store                          | until it revokes | is      |
      | has lost the store too                      | for 400 ms       | is not  |

  Scenario Outline: an owner tells its monitors that it has lost the store
    Given a VM whose lease is <lease>
    When it is asked for its instance, to be answered after 300 ms
    Then it answers that it <has_lost> lost the store

    Examples:
      | lease                             | has_lost |
      | renewed                           | has not  |
      | refused a renewal after 500 ms    | has not  |
      | refused renewals for 1000 ms      | has      |
      | refused renewals until it lapsed  | has not  |

  Scenario: an ownership is not revoked if the owner's record has changed
    Given a store in memory
    And an owner whose process refuses connections
    When a VM monitors it and another one acquires the cell meanwhile
    Then the ownership is not revoked

  Scenario: the next owner knows that the one before was revoked
    Given a store in memory
    And an owner whose process refuses connections
    When a VM monitors it until it revokes
    And a VM acquires the cell after it
    Then its epoch follows a revoked one
    When the VM gives the cell up and acquires it again
    Then its epoch does not follow a revoked one

  Scenario: an owner that sees its record changed ends its session
    Given a store in memory
    And a VM that serves the cell
    When the store shows an earlier change of the owner's record
    Then the session goes on
    When the store shows a later change of the owner's record
    Then the session ends

  Scenario Outline: strong VMs monitor the owner, not always the same
    When the VMs that monitor are chosen among <cores>
    Then the owner of epoch 1 is monitored by <count> VMs of 2 cores
    And different VMs monitor the owners of epochs 1 to 20

    Examples:
      | cores                      | count |
      | 8 of 2 cores, 20 of 1 core | 4     |
      | 2 of 2 cores, 20 of 1 core | 2     |

  Scenario: the log tells for how long a cell had no owner
    Given a store in memory
    When another VM gives up the cell and this one acquires it 150 ms later
    Then the log tells 150 ms without an owner

  Scenario: a VM that stops while it acquires the cell does not serve it
    Given a store in memory
    When a VM acquires the cell and is stopped before the store's answer
    Then it served no epoch
    And the cell has no owner

  Scenario: an ownership whose answer was lost is resumed
    Given a store in memory that carries out writes but does not answer
    And a VM that acquires the cell
    Then the VM serves the cell with epoch 1

  Scenario Outline: a configuration is applied only if it is newer
    Given the configuration <first> is in force
    When configuration <next> is received
    Then configuration <present> is in force

    Examples:
      | first | next       | present |
      | 7     | 9          | 9       |
      | 7     | 7          | 7       |
      | 7     | 3          | 7       |
      | 7     | unreadable | 7       |
      | 7     | removed    | 7       |

  Scenario: a log whose reader has stopped drops lines and does not block
    Given a log into a pipe that nobody reads
    When 20000 lines of 10 kinds are written
    Then the writer was not blocked
    And the log counts the lines that it dropped

  Scenario: a failed request does not fail one that waits for its connection
    Given an HTTP server and a client of 1 connection to it
    When a request fails while another waits for the connection
    Then the other request is answered

  Scenario Outline: a connection is used again, whatever its descriptor's number
    Given an HTTP server and a client of 1 connection to it
    When <count> requests are sent over a connection with descriptor <number> or more
    Then the server has accepted <connections> connections

    Examples:
      | count | number | connections |
      | 5     | 3      | 1           |
      | 5     | 1100   | 1           |

  Scenario Outline: a request is resent at most once
    Given a server that ends each connection after the request
    When a client of 24 connections sends a <method> request
    Then it failed, and the server received <count> requests

    Examples:
      | method | count |
      | GET    | 2     |
      | POST   | 1     |

  Scenario Outline: the state of a VM tells of its lease and its cell
    When the state of a VM that <owns> a cell is described 400 ms before its lease ends
    Then its state has <jobs> jobs, <left_ms> ms left, and owns a cell: <told>

    Examples:
      | owns        | jobs | left_ms | told  |
      | serves      | 1    | 400     | True  |
      | serves not  | 0    | 400     | False |

  Scenario: metrics show requests, store calls and the state of the VM
    Given metrics of a VM whose store answers writes with done, silent
    When two writes are tried and a caller's POST is answered with 503
    And a caller is answered with 200 after SIGTERM
    Then the metrics show
      | line                                                                    |
      | samphiregate_request_seconds_count{method="POST",status="503"} 1.0      |
      | samphiregate_store_call_seconds_count{call="commit",outcome="ok"} 1.0   |
      | samphiregate_store_call_seconds_count{call="commit",outcome="unavailable"} 1.0 |
      | samphiregate_lease_left_seconds 1.5                                     |
      | samphiregate_owns_cell 1.0                                              |
      | samphiregate_tasks_waiting{reason="room"} 7.0                           |
      | samphiregate_endpoints_unreachable{service="svc"} 2.0                   |
      | samphiregate_configuration_version 9.0                                  |
      | samphiregate_runs_lost{reason="its process has ended"} 4.0              |
      | samphiregate_runs_preempted{queue="batch"} 3.0                          |
      | samphiregate_preempted_core_seconds{queue="batch"} 4.5                  |
      | samphiregate_account_room{account="acme",kind="surplus",service="svc"} 0.2 |
      | samphiregate_tasks_without_run 2.0                                      |
      | samphiregate_tasks_without_run_oldest_seconds 14.8                      |
      | samphiregate_tasks_unconfirmed 1.0                                      |
      | samphiregate_task_restart_seconds_count 3.0                             |
      | samphiregate_task_restart_seconds_sum 9.5                               |
      | samphiregate_stopping_requests_total{status="200"} 1.0                  |

  Scenario Outline: changes that come in quick succession cost one call to the store
    Given a store with a change every 10 ms for 400 ms
    When a prefix is watched with a pause of <pause_ms> ms
    Then all 40 changes are seen after <least> to <most> calls

    Examples:
      | pause_ms | least | most |
      | 0        | 30    | 60   |
      | 200      | 2     | 6    |

  Scenario: clients that are no longer used are dropped
    Given an HTTP server and at most 2 clients
    When clients are used for 3 time-outs in turn, while the first is kept
    Then the first client has no idle connection, and still answers
    And at most 2 clients are held

  Scenario Outline: the list of silent endpoints counts as stored once it is
    Given a store that carries out <delayed> writes late, after the last one
    When the owner stores that endpoint "e0" is silent
    Then the store lists endpoint "e0" as silent
    And <reports> write of the list was reported

    Examples:
      | delayed | reports |
      | 0       | 1       |
      | 1       | 1       |

  Scenario Outline: a write that is carried out late does not undo a newer one
    Given a store that carries out <delayed> writes late, <when>
    When the owner stores the records "first", then "second" of a job
    Then the store holds the record "second" of the job

    Examples:
      | delayed | when                  |
      | 1       | after the last one    |
      | 2       | after the last one    |
      | 1       | before the second one |

  Scenario: a call that finds no free connection in time is not sent
    Given an HTTP server and a client of 1 connection to it
    When a request is sent while another one holds the connection
    Then it fails as not sent, and the server received 1 request

  Scenario: the VMs that queries are relayed to are those with a record now
    Given an entry VM that has read the records of the VMs a and b
    Then it knows the addresses of a, b
    When the record of c is added and that of a is removed
    Then it knows the addresses of b, c
    And the records are not decoded again until one changes

  Scenario: methods that clients make up are counted together
    Given metrics of a VM whose store answers writes with done, silent
    When callers send GET and 1000 methods of their own
    Then the metrics name 2 methods
