Feature: what another writer, a runner or a caller sends ends no process

  Entries, answers and bodies with numbers beyond 64 bits, ports that no socket
  takes, names that no resolver takes, or deep nesting are refused where they
  are read.

  # Guards against an entry that ends processes, or fills their log.
  Scenario Outline: an odd registration names no runner
    When a runner's entry has <change>
    Then the entry is <outcome>

    Examples:
      | change                                | outcome |
      | "addr": "10.1.0.5:8686"               | taken   |
      | "addr": "runner-1.example:65535"      | taken   |
      | "addr": "10.1.0.5:0"                  | refused |
      | "addr": "10.1.0.5:65536"              | refused |
      | "addr": "10.1.0.5:99999"              | refused |
      | "addr": "10.1.0.5:http"               | refused |
      | "addr": "10.1.0.5"                    | refused |
      | "addr": ":8686"                       | refused |
      | "addr": "a..b:8686"                   | refused |
      | "addr": "10.1.0.5 :8686"              | refused |
      | a host label of 63 characters         | taken   |
      | a host label of 64 characters         | refused |
      | a host of 300 characters              | refused |
      | a port of 5000 digits                 | refused |
      | "born": 18446744073709551615          | refused |
      | "born": 1e300                         | refused |
      | "born": 1e999                         | refused |
      | "born": -1                            | refused |
      | "cold_left_ms": 1e30                  | refused |
      | "remaining_ms": 9223372036854775808   | refused |
      | "capacity": {"cpu": 1e300}            | refused |
      | "capacity": {"mem_mb": -5}            | refused |
      | "labels": [3]                         | refused |
      | "labels": 3                           | refused |
      | "zone": null                          | refused |
      | a zone of 500000 characters           | refused |
      | 200000 lists in each other            | refused |
      | a key with a line break               | refused |
      | a key without an id                   | refused |

  # Guards against 500 and a traceback for a caller's mistake.
  Scenario Outline: an odd job is refused with a typed error
    Given an entry VM with queue "/q/" that requires a key and queue "/open/" that does not
    When a caller submits a step with <field>
    Then the answer is <status>
    And the answer has the code <code>

    Examples:
      | field                            | status | code      |
      | "cpu": 1000000000000             | 200    | none      |
      | "cpu": 18446744073709551616      | 400    | bad-input |
      | "cpu": 1e300                     | 400    | bad-input |
      | "mem_mb": 18446744073709551616   | 400    | bad-input |
      | "gpu": 1e300                     | 400    | bad-input |
      | "estimate_ms": 1e300             | 400    | bad-input |
      | "estimate_ms": -1                | 400    | bad-input |
      | "anti_affinity": 1e300           | 400    | bad-input |
      | "max_unavailable": 1e300         | 400    | bad-input |
      | "target_ms": 1e300               | 400    | bad-input |
      | "target_ms": 1e999               | 400    | bad-input |
      | "count": 1e300                   | 400    | bad-input |
      | "count": null                    | 400    | bad-input |
      | "after": [1e300]                 | 400    | bad-input |
      | "after": [[]]                    | 400    | bad-input |
      | "requires": 5                    | 400    | bad-input |

  Scenario Outline: odd times of a recurring job are refused
    Given an entry VM with queue "/q/" that requires a key and queue "/open/" that does not
    When a caller submits a recurring job with <field>
    Then the answer is <status>

    Examples:
      | field                                    | status |
      | "initial_delay_ms": 1700000000000        | 200    |
      | "initial_delay_ms": 18446744073709551616 | 400    |
      | "initial_delay_ms": 1e300                | 400    |
      | "interval_ms": 1e300                     | 400    |
      | "interval_ms": 18446744073709551616      | 400    |
      | "repeat_count": 1e300                    | 400    |

  Scenario Outline: odd headers are no fault of the VM
    Given an entry VM with queue "/q/" that requires a key and queue "/open/" that does not
    When a caller submits a job with the header <name> of <value>
    Then the answer is <status>

    Examples:
      | name           | value                | status |
      | X-Deadline-Ms  | 3000                 | 200    |
      | X-Deadline-Ms  | ²                    | 200    |
      | X-Deadline-Ms  | 5000 digits          | 200    |
      | X-Deadline-Ms  | 99999999999999999999 | 200    |
      | X-Deadline-Ms  | -5                   | 200    |
      | Content-Length | many                 | 400    |
      | Content-Length | ²                    | 400    |
      | Content-Length | 5000 digits          | 400    |

  # Guards against an exception that callers get as a plain page.
  Scenario: a body that is cut short is no fault of the VM
    Given an entry VM with queue "/q/" that requires a key and queue "/open/" that does not
    When a caller's body is cut short
    Then the answer has the code bad-input
    And the log has no line "request failed"

  Scenario Outline: a job of too many tasks is refused before a step is made
    Given an entry VM with queue "/q/" that requires a key and queue "/open/" that does not
    When a caller submits <steps> steps of <tasks> tasks
    Then the answer has the code <code>
    And <made> steps were made

    Examples:
      | steps | tasks | code      | made  |
      | 10000 | 1     | none      | 10000 |
      | 10001 | 1     | bad-input | 0     |
      | 5000  | 3     | bad-input | 0     |
      | 80000 | 1     | bad-input | 0     |

  Scenario Outline: what a caller names is logged in a few bytes
    Given an entry VM with queue "/q/" that requires a key and queue "/open/" that does not
    When a caller sends a request with <field> of 7000 characters
    Then each line of the log has at most 600 bytes

    Examples:
      | field          |
      | PATH_INFO      |
      | REQUEST_METHOD |
      | HTTP_HOST      |
      | HTTP_X_KEY     |

  Scenario: a refusal does not quote a long text of the document
    Given an entry VM with queue "/q/" that requires a key and queue "/open/" that does not
    When 100000 letters stand for the target of a step
    Then the answer has the code bad-input
    And each line of the log has at most 600 bytes
    And the answer has at most 400 bytes

  Scenario: a fault of the VM is answered with a typed error and logged
    Given an entry VM whose service of jobs fails
    When a caller sends GET "/q/5c0e7a21d94b36f8" with key "secret"
    Then the answer is 500
    And the answer has the code internal
    And the log has a line "request failed"

  # Guards against one runner that ends the writer of all records.
  Scenario Outline: an odd answer to a poll counts as none
    Given an owner whose runner "e0" may run the task of job "j"
    When the runner answers a poll with the <list> row <row>
    Then the answer is <outcome> as an answer to a poll
    And the records of the cell can be encoded

    Examples:
      | list    | row                                             | outcome |
      | running | ["j.0.0.0", 1, "", 5]                           | taken   |
      | running | ["j.0.0.0", 1, "", 5, 3]                        | taken   |
      | running | ["j.0.0.0", 18446744073709551616, "", 5]        | refused |
      | running | ["j.0.0.0", 1e300, "", 5]                       | refused |
      | running | ["j.0.0.0", -1, "", 5]                          | refused |
      | running | ["j.0.0.0", 1, 7, 5]                            | refused |
      | running | ["j.0.0.0", 1, {}, 5]                           | refused |
      | running | ["j.0.0.0", 1, "", "much"]                      | refused |
      | running | ["j.0.0.-1", 1, "", 5]                          | refused |
      | running | [5, 1, "", 5]                                   | refused |
      | running | []                                              | refused |
      | running | 5                                               | refused |
      | ended   | [1, "j.0.0.0", 1, "failed", ""]                 | taken   |
      | ended   | [1, "j.0.0.0", 1e300, "failed", ""]             | refused |
      | ended   | [1e300, "j.0.0.0", 1, "failed", ""]             | refused |
      | ended   | [1, "j.0.0.0", 1, "lost", ""]                   | refused |
      | ended   | [1, "j.0.0.0", 1, [], ""]                       | refused |
      | ended   | [1, "j.0.0.0", 1, "failed", 5]                  | refused |

  Scenario Outline: an odd answer to a start is no exception
    When a runner answers a start with <status> and <body>
    Then the outcome is <outcome>
    And the clock in the answer is <clock>

    Examples:
      | status | body                                     | outcome     | clock |
      | 409    | {"reason":[]}                            | not started | None  |
      | 409    | {"reason":{"room":1}}                    | not started | None  |
      | 200    | {"clock_ms":18446744073709551615}        | started     | None  |
      | 200    | {"clock_ms":-1}                          | started     | None  |
      | 200    | {"clock_ms":1e300}                       | started     | None  |

  # Guards against starts on a runner whose entry another writer replaced.
  Scenario: an entry that can't be read names no runner, until it can again
    Given an owner that reads the entry of runner "i-1" from the store
    When another writer writes the entry of runner "i-1" unreadably
    Then the owner starts nothing on runner "i-1", but lets its runs go on
    When the entry of runner "i-1" is written as before
    Then the owner knows runner "i-1" again

  # Guards against a VM that no longer follows a list after one odd entry.
  Scenario: an exception for one change does not end the watch
    Given a store with a change every 10 ms for 100 ms
    When a prefix is watched, and the third change is met with an exception
    Then 10 changes are seen
    And the exception is logged

  # Guards against an owner that starts nothing as its writer has ended.
  Scenario: an owner whose writer fails gives the cell up
    Given a store in memory that holds job "j"
    When the records of the cell can't be encoded
    Then the owner gives the cell up
