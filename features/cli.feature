Feature: the command line against the platform's stand-in, a process

  Scenario: cli: an operator's day
    Given a platform process with the entry VMs vm-1 and vm-2 for the command line
    And the sample lists in a directory for the command line
    Then these commands, as processes, end as told
      | command                           | exit | shows                              |
      | lists validate LISTS              | 0    | queues  4                          |
      | lists diff LISTS                  | 12   | team   kiosks                      |
      | lists apply LISTS --note first    | 0    | Revision 1 is in force on all 2    |
      | lists apply LISTS                 | 0    | Nothing to change                  |
      | lists diff LISTS                  | 0    | No difference to revision 1        |
      | lists get GOT                     | 0    | revision  1                        |
    And these commands end as told
      | command                           | exit | shows                              |
      | lists diff GOT                    | 0    | No difference                      |
      | keys give kiosks                  | 0    | Revision 2 is in force on all 2    |
      | keys give nobody                  | 9    | there is no team nobody            |
      | keys list --team kiosks           | 0    | good                               |
      | --output json keys list           | 0    | "state": "good"                    |
      | keys withdraw KEY                 | 0    | Revision 3 is in force on all 2    |
      | keys withdraw KEY                 | 0    | withdrawn before                   |
      | keys list                         | 0    | withdrawn                          |
      | keys withdraw nokey               | 9    | there is no key nokey              |
      | lists history                     | 0    | first                              |
      | lists history --last 1            | 0    | 3                                  |
      | status                            | 0    | vm-2                               |

  Scenario: cli: an apply names the VMs that have not confirmed
    Given a platform process with the entry VMs vm-1 and vm-2 for the command line
    And the sample lists in a directory for the command line
    And the command line's entry VM vm-2 stays at revision 0
    Then these commands end as told
      | command                         | exit | shows                     |
      | lists apply LISTS --wait-ms 500 | 5    | not confirmed it: vm-2    |
      | lists history                   | 0    | 1                         |

  Scenario: cli: two operators race with the lists
    Given a platform process with the entry VMs vm-1 and vm-2 for the command line
    And the sample lists in a directory for the command line
    Then these commands end as told
      | command              | exit | shows                       |
      | lists apply LISTS    | 0    | in force                    |
      | lists get GOT        | 0    | revision                    |
      | lists get MINE       | 0    | revision                    |
      | EDIT GOT             | 0    |                             |
      | EDIT MINE            | 0    |                             |
      | lists apply GOT      | 0    | max_running: 400 -> 401     |
      | lists apply MINE     | 4    | nightly                     |
      | lists apply GOT      | 0    | Nothing to change           |
      | EDIT GOT             | 0    |                             |
      | lists apply GOT      | 0    | max_running: 401 -> 402     |

  Scenario Outline: cli: an edit while the store is <fault>
    Given a platform process with the entry VMs vm-1 and vm-2 for the command line
    And the sample lists in a directory for the command line
    When the command line's platform has the fault <fault>
    Then these commands end as told
      | command           | exit   | shows   |
      | lists apply LISTS | <exit> | <shows> |
    And the platform of the command line holds revision <revision>

    Examples:
      | fault             | exit | shows                   | revision |
      | losing an answer  | 0    | Revision 1 is in force  | 1        |
      | losing 3 answers  | 0    | Revision 1 is in force  | 1        |
      | down              | 6    | the store can't be read | 0        |

  Scenario Outline: cli: <command> without what it needs
    Then these commands end as told
      | command   | exit   | shows   |
      | <command> | <exit> | <shows> |

    Examples:
      | command                         | exit | shows                      |
      | lists history                   | 2    | SAMPHIREGATE_PLATFORM      |
      | --platform nowhere lists get .  | 2    | is not ip:port             |
      | --platform 127.0.0.1:1 lists history | 6 | can't be read            |
      | lists validate no-such-place    | 3    | can't be read              |
      | --entry 127.0.0.1:1 job list    | 2    | SAMPHIREGATE_KEY           |
      | --entry 127.0.0.1:1 --key k job list | 6 | no connection            |
      | lists nothing                   | 2    | Invalid command            |
      | --output yaml queues            | 2    | yaml                       |
      | --completion generate           | 0    | COMPLETION_LOCATION        |
      | --help                          | 0    | histograms                 |

  Scenario Outline: cli: a refusal with <code>, ran <ran>, exits <exit>
    Given an entry VM that refuses the command line with <code>, ran <ran>
    Then these commands end as told
      | command                      | exit   | shows   |
      | request send holds --body hi | <exit> | refusal |

    Examples:
      | code              | ran     | exit |
      | key-refused       | no      | 7    |
      | limit-reached     | no      | 7    |
      | not-found         | no      | 9    |
      | overloaded        | no      | 6    |
      | no-runner         | no      | 6    |
      | outcome-unknown   | unknown | 8    |
      | runner-failed     | unknown | 8    |
      | deadline-exceeded | no      | 11   |
      | body-too-large    | no      | 3    |
      | code-of-tomorrow  | no      | 1    |
      | key-refused       | perhaps | 8    |

  Scenario Outline: cli: waiting for a job that is <state>
    Given an entry VM that tells the command line of a job that is <state>
    Then these commands end as told
      | command                 | exit   | shows   |
      | job wait job-1 --wait-ms 200 | <exit> | <state> |

    Examples:
      | state     | exit |
      | succeeded | 0    |
      | failed    | 10   |
      | cancelled | 10   |
      | running   | 11   |

  Scenario: cli: a request and a job are sent as the API tells
    Given an entry VM that tells the command line of a job that is queued
    Then these commands end as told
      | command                                                        | exit | shows     |
      | request send holds --body hi --idempotent --deadline-ms 700    | 0    | request-1 |
      | job submit --class gang --tasks 4 --cpu-millis 100 --memory-mib 64 --urgent | 0 | queued |
    And the entry VM got the command line's request and job
