Feature: a VM that stops leaves no request unanswered that it has read

  Scenario Outline: a slow hand-over does not delay the end of the process
    Given a VM whose hand-over <takes>
    When it must end within <allowed> s
    Then it accepts requests for <accepts> s and waits for open ones until <ends> s

    Examples:
      | takes           | allowed | accepts | ends |
      | takes no time   | 6       | 5       | 5.5  |
      | does not return | 6       | 5       | 5.5  |
      | takes no time   | 0.75    | 0       | 0.25 |
      | does not return | 0.25    | 0       | 0    |

  Scenario Outline: a draining server answers what it has read
    Given a server and a connection <connection>
    When the server drains
    Then the client gets <answers> whole answers
    And the server has read <answers> requests

    Examples:
      | connection                                      | answers |
      | that was never used                             | 0       |
      | that is idle after a request                    | 1       |
      | whose request waits for its answer              | 1       |
      | whose request was sent and not read yet         | 1       |
      | with two requests sent at once                  | 2       |
      | with a request of which half was sent           | 0       |
      | with a request whose other half is sent later   | 1       |

  Scenario Outline: a caller who waits for the store is answered at the end
    Given a store that answers writes with slow
    When the VM gives up while a caller waits for <call>
    Then the call ends as <code>

    Examples:
      | call      | code            |
      | a POST    | outcome-unknown |
      | a DELETE  | outcome-unknown |
      | a GET     | unavailable     |
      | a count   | unavailable     |

  Scenario Outline: clients that go on until the process is gone get answers
    Given a VM under load, and a store that <store>, with seed <seed>
    When it gets <signals> while the configuration changes
    Then it ended by itself
    And it answered each request that it had read

    Examples:
      | seed | store                              | signals                                    |
      | 1    | answers late                       | SIGTERM                                    |
      | 2    | is silent from the SIGTERM on      | SIGHUP, SIGTERM, SIGHUP, SIGTERM           |
      | 3    | answers late                       | SIGHUP, SIGHUP, SIGTERM, SIGTERM, SIGHUP   |
      | 4    | is silent from the start           | SIGTERM, SIGHUP                            |

  Scenario: a SIGHUP during the start does not end the process
    Given a process that waits for its settings file
    When it gets SIGHUP, and then settings without a name
    Then it reports the missing name and ends with status 2
