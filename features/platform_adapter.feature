Feature: the adapter translates between the users' platform and the product

  Scenario Outline: settings are checked
    Given the platform's settings file without <missing> and with <extra>
    When the settings are read
    Then <outcome>

    Examples:
      | missing       | extra            | outcome                        |
      | nothing       | nothing          | the VM is "front-a-1"          |
      | nothing       | new.field=1      | the VM is "front-a-1"          |
      | nothing       | advice=          | the VM is "front-a-1"          |
      | node_name     | nothing          | setting "node_name" is named   |
      | listen.front  | nothing          | setting "listen.front" is named |
      | platform.addr | nothing          | setting "platform.addr" is named |
      | port_range    | port_range=x,y   | setting "port_range" is named  |
      | nothing       | limits.cores=2   | the VM has 0 cores             |
      | nothing       | nothing          | tasks take 1 times far away    |
      | nothing       | bounds.far_x=2.5 | tasks take 2.5 times far away  |
      | nothing       | bounds.far_x=far | setting "bounds.far_x" is named |
      | nothing       | nothing          | leases last 10000 ms at most   |
      | nothing       | bounds.hold_max_ms=6000 | leases last 6000 ms at most |
      | nothing       | bounds.hold_max_ms=-1 | setting "bounds.hold_max_ms" is named |
      | nothing       | nothing          | values take 1048576 bytes at most |
      | nothing       | platform.value_bytes=65536 | values take 65536 bytes at most |
      | nothing       | platform.value_bytes= | values take 1048576 bytes at most |
      | nothing       | platform.value_bytes=0 | values take 1048576 bytes at most |
      | nothing       | platform.value_bytes=big | setting "platform.value_bytes" is named |
      | nothing       | limits.cpu_share=0.5 and limits.cores=2 | the VM has 1 cores |
      | nothing       | limits.cpu_share=0.5 | the VM has 0.5 cores       |
      | nothing       | limits.cpu_share=nan | setting "limits.cpu_share" is named |
      | nothing       | limits.cpu_share=-1  | setting "limits.cpu_share" is named |

  Scenario Outline: the longest wait for a place is a variable of the process
    Given the platform's settings file without nothing and with nothing
    When the settings are loaded with a longest wait of "<text>"
    Then <outcome>

    Examples:
      | text | outcome                                               |
      |      | tasks wait 5000 ms at most                            |
      | 700  | tasks wait 700 ms at most                             |
      | 0    | tasks wait 0 ms at most                               |
      | -1   | setting "SAMPHIREGATE_MAX_PLACE_WAIT_MS" is named     |
      | long | setting "SAMPHIREGATE_MAX_PLACE_WAIT_MS" is named     |

  Scenario Outline: registrations of endpoints are checked
    When an endpoint's registration <entry> is decoded
    Then the input is <outcome>

    Examples:
      | entry                                   | outcome    |
      | as the platform writes it               | taken      |
      | with state "draining"                   | taken      |
      | with state "asleep"                     | refused    |
      | without capacity                        | refused    |
      | with a number for its service           | refused    |
      | with text for its capacity              | refused    |
      | that is no JSON                         | refused    |
      | that is a list                          | refused    |

  Scenario Outline: jobs are checked before they are stored
    When a caller's body <body> is decoded
    Then the input is <outcome>

    Examples:
      | body                                                             | outcome |
      | {"spec":"x","steps":[{"count":2,"cpu":500,"estimate_ms":9}]}     | taken   |
      | {"spec":"x","steps":[{"count":1},{"count":1,"after":[0]}]}       | taken   |
      | {"spec":"x","steps":[{"count":1,"after":[0]}]}                   | refused |
      | {"spec":"x","steps":[{"count":1},{"count":1,"after":[1]}]}       | refused |
      | {"spec":"x","steps":[]}                                          | refused |
      | {"spec":"x","steps":[{"count":0}]}                               | refused |
      | {"spec":"x","steps":[{"count":"many"}]}                          | refused |
      | {"spec":5,"steps":[{"count":1}]}                                 | refused |
      | {"spec":"x"}                                                     | refused |
      | {"spec":"x","steps":[{"count":1,"cpu":-500}]}                    | refused |
      | {"spec":"x","steps":[{"count":1,"gpu":-1}]}                      | refused |
      | {"spec":"x","steps":[{"count":1,"anti_affinity":-1}]}            | refused |
      | {"spec":"x","steps":[{"count":9}],"repeat_count":30,"interval_ms":5} | taken |
      | {"spec":"x","steps":[{"count":9}],"repeat_count":1000000000}     | refused |
      | {"spec":"x","steps":[{"count":1}],"repeat_count":3,"interval_ms":-5} | refused |
      | {"spec":                                                         | refused |

  Scenario Outline: a parsed task name is formatted as the same name
    When the task name "<name>" is parsed
    Then the input is <outcome>

    Examples:
      | name                      | outcome |
      | 5c0e7a21d94b36f8.0.1.17   | taken   |
      | 5c0e7a21d94b36f8.3.0.0    | taken   |
      | 5c0e7a21d94b36f8.0.1      | refused |
      | 5c0e7a21d94b36f8.0.1.last | refused |

  Scenario Outline: a runner's answer to a start tells its clock
    When a runner answers a start with <status> and <body>
    Then the clock in the answer is <clock>

    Examples:
      | status | body                             | clock |
      | 200    | {"clock_ms":17}                  | 17    |
      | 409    | {"clock_ms":17,"reason":"room"}  | 17    |
      | 200    | {}                               | None  |
      | 200    | {"clock_ms":"late"}              | None  |
      | 409    | garbled                          | None  |
      | 421    | {"clock_ms":17}                  | None  |

  Scenario Outline: a runner's answer determines the outcome of a start
    When a runner answers a start with <status> and <body>
    Then the outcome is <outcome>

    Examples:
      | status | body                | outcome        |
      | 200    | {"clock_ms":1}      | started        |
      | 409    | {"reason":"fence"}  | fenced         |
      | 409    | {"reason":"old"}    | superseded     |
      | 409    | {"reason":"late"}   | too late       |
      | 409    | {"reason":"room"}   | no room        |
      | 409    | {"reason":"ticket"} | no ticket      |
      | 409    | garbled             | not started    |
      | 421    | {}                  | wrong endpoint |
      | 429    | {}                  | not started    |
      | 503    | {}                  | not started    |
      | 500    | {}                  | unknown        |

  Scenario Outline: a caller's request is answered with the right status
    Given an entry VM with queue "/q/" that requires a key and queue "/open/" that does not
    When a caller sends <method> "<path>" with key "<key>"
    Then the answer is <status>

    Examples:
      | method | path                   | key    | status |
      | POST   | /q/5c0e7a21d94b36f8    | secret | 200    |
      | POST   | /q/5c0e7a21d94b36f8    | wrong  | 401    |
      | POST   | /q/5c0e7a21d94b36f8    |        | 401    |
      | POST   | /open/5c0e7a21d94b36f8 |        | 200    |
      | POST   | /none/5c0e7a21d94b36f8 | secret | 404    |
      | POST   | /q/short               | secret | 404    |
      | GET    | /q/0000000000000000    | secret | 410    |
      | DELETE | /q/0000000000000000    | secret | 410    |
      | GET    | /q/                    | secret | 503    |
      | PUT    | /q/5c0e7a21d94b36f8    | secret | 405    |

  Scenario Outline: a body without a declared length is read within bounds
    Given an entry VM with queue "/q/" that requires a key and queue "/open/" that does not
    When a caller sends a body of <bytes> bytes in chunks
    Then the answer is <status>
    And at most 1000001 bytes of it were read

    Examples:
      | bytes    | status |
      | 60       | 200    |
      | 30000000 | 413    |

  Scenario: without a configuration requests are refused with a retry time
    Given an entry VM without a configuration
    When a caller sends POST "/q/5c0e7a21d94b36f8" with key "secret"
    Then the answer is 503
    And it has a Retry-After header

  Scenario: a VM that is about to end rejects requests at once
    Given an entry VM that accepts no more requests
    When a caller sends POST "/q/5c0e7a21d94b36f8" with key "secret"
    Then the answer is 503
    And it has a Retry-After header
