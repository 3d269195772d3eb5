Feature: an entry VM on a platform with a store

  Scenario Outline: a caller's job is accepted, refused or in doubt, as is true
    Given a store that answers writes with <answers>
    When a caller sends a job with 1000 ms to spare
    Then the caller is told <told>

    Examples:
      | answers                 | told                 |
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

  Scenario Outline: a VM that the store turns away asks by way of the owner
    Given a store that answers writes with refused
    And the owner's VM, whose store answers writes with <answers>
    When a caller sends a job with 1000 ms to spare
    Then the caller is told <told>

    Examples:
      | answers | told                |
      | done    | accepted            |
      | exists  | accepted            |
      | refused | unavailable, ran no |
      | silent  | outcome-unknown     |

  Scenario: another VM is asked where the owner's does not reach the store
    Given a store that answers writes with refused
    And the owner's VM, whose store answers writes with refused
    And one more VM, whose store answers writes with done
    When a caller sends a job with 1000 ms to spare
    Then the caller is told accepted

  Scenario: callers of a store that is away are refused without a call each
    Given a store that answers writes with refused
    When 40 callers send jobs one after the other
    Then all are told unavailable, ran no, after at most 3 calls to the store
    When the store answers writes with done again
    And the store renews the lease
    And 3 callers send jobs one after the other
    Then all are told accepted, after at most 6 calls to the store

  Scenario Outline: a VM that lost the store does not keep callers waiting
    Given a store that answers writes with <answers>
    And a lease that the store did not renew
    When a caller sends a job with 3000 ms to spare
    Then the caller is told unavailable, ran no
    And at most 0 calls were made to the store

    Examples:
      | answers |
      | silent  |
      | refused |

  Scenario Outline: a cancelling is stored, or the job does not exist
    Given a store in memory that <holds> job "j"
    When a caller cancels job "j" <times> times
    Then the caller is told <told>

    Examples:
      | holds         | times | told      |
      | holds         | 1     | accepted  |
      | holds         | 2     | accepted  |
      | does not hold | 1     | not-found |

  Scenario Outline: the state of a job comes from the store without an owner
    Given a store in memory that holds job "j"
    And the store has <noted> of job "j"
    When a caller asks for the state of job "j"
    Then the state is <state>

    Examples:
      | noted                  | state     |
      | nothing                | queued    |
      | a running record       | running   |
      | a completed record     | completed |
      | a failed record        | failed    |
      | a cancelling           | cancelled |

  Scenario: a VM gives its cell up when its session ends and its lease stands
    Given a store in memory
    And a VM that owns the cell and serves it once
    When its session ends while the lease stands
    Then the cell has no owner

  Scenario: an ownership whose answer was lost is taken up
    Given a store in memory that does writes and loses their answers
    And a VM that takes the cell
    Then the VM serves the cell with epoch 1

  Scenario Outline: a configuration is taken in only if it is newer
    Given the configuration <first> is in force
    When configuration <next> is read
    Then configuration <present> is in force

    Examples:
      | first | next       | present |
      | 7     | 9          | 9       |
      | 7     | 7          | 7       |
      | 7     | 3          | 7       |
      | 7     | unreadable | 7       |
      | 7     | removed    | 7       |

  Scenario: a log whose reader has stopped costs lines and no time
    Given a log into a pipe that nobody reads
    When 20000 lines of 10 kinds are written
    Then writing went on
    And the log tells how many lines it left out

  Scenario: idle connections are closed without harm to waiting callers
    Given an HTTP server and a client of 1 connection to it
    When a request fails while another waits for the connection
    Then the other request is answered

  Scenario Outline: a request is sent again once at most
    Given a server that ends each connection after the request
    When a client of 24 connections sends a <method> request
    Then it failed, and the server saw <most> requests

    Examples:
      | method | most |
      | GET    | 2    |
      | POST   | 1    |

  Scenario: metrics tell of requests, store calls and the state of the VM
    Given metrics of a VM whose store answers writes with done, silent
    When two writes are tried and a caller's POST is answered with 503
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

  Scenario: clients of addresses that are not used any more are dropped
    Given an HTTP server and at most 2 clients
    When clients are used for 3 time-outs in turn, the first one kept in hand
    Then the first client has no idle connection, and still answers
    And at most 2 clients are held

  Scenario Outline: a write that is carried out late undoes no newer one
    Given a store that carries <losses> writes out late, <when>
    When the owner stores the notes "first", then "second" of a job
    Then the store has the notes "second" of the job

    Examples:
      | losses | when                  |
      | 1      | after the last one    |
      | 2      | after the last one    |
      | 1      | before the second one |

  Scenario: a call that finds no free connection in time is not sent
    Given an HTTP server and a client of 1 connection to it
    When a request is sent while another one holds the connection for long
    Then it is refused as not sent, and the server saw 1 request
