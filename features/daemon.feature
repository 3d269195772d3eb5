Feature: the daemon's settings, loop, metrics and logs

  Scenario Outline: a setting that cannot be used is named
    When the daemon's settings are checked with <flag> set to <value>
    Then the settings error names <named>

    Examples:
      | flag             | value          | named        |
      | --data-centre    | a/b            | data-centre  |
      | --vm-id          | a b            | vm-id        |
      | --secret         | short          | secret       |
      | --platform       | nowhere        | platform     |
      | --platform       | 10.0.0.1:99999 | platform     |
      | --http-listen    | :80            | http-listen  |
      | --peer-advertise | x              | peer-advertise |
      | --statsd         | x:             | statsd       |
      | --operator-networks | 10.0.0.0/99 | operator-networks |
      | --offline-ms     | 0              | offline-ms   |
      | --log-format     | xml            | log-format   |
      | --log-level      | loud           | log-level    |
      | --tls-key        | key.pem        | tls-key      |
      | --shard-count    | 0              | shard-count  |
      | --tick-ms        | 5              | tick-ms      |
      | --renew-ms       | 8000           | renew-ms     |
      | --max-body-bytes | 99999999       | max-body-bytes |
      | --drain-ms       | -1             | drain-ms     |
      | --longest-deadline-ms | 0         | longest-deadline-ms |

  Scenario Outline: tokens of a lost VM stay back until its work has ended
    When the machines are built for leases of <lease> and deadlines of <deadline> ms
    Then tokens of a lost entry VM come back after <lapse> ms

    Examples:
      | lease  | deadline | lapse  |
      | 15000  | 60000    | 65000  |
      | 15000  | 600000   | 605000 |
      | 60000  | 60000    | 120000 |
      | 3000   | 1000     | 6000   |

  Scenario Outline: settings come from flags and variables, flags first
    Given the variable SAMPHIREGATE_TICK_MS is "<variable>"
    When the daemon's settings are read with flags "<flags>"
    Then the tick is <tick> ms

    Examples:
      | variable | flags         | tick |
      |          |               | 200  |
      | 50       |               | 50   |
      |          | --tick-ms 70  | 70   |
      | 50       | --tick-ms 70  | 70   |

  Scenario: events that arrive while one is handled wait for their turn
    Given a loop whose machine answers each event with an action
    When an event is delivered whose action delivers two more
    Then the machine saw three events, one after the other

  Scenario: messages of an entry VM to itself and notices stay inside
    Given an entry VM whose machine sends to itself, to a peer, and a notice
    When it handles a tick
    Then only the message to the peer comes out
    And the machine saw its own message and the notice

  Scenario Outline: a pause is told to every machine before the next event
    Given an entry VM in which an event concerns only the second machine
    When the event comes <gap> ms after the last one
    Then the first machine saw <first> and the second <second>

    Examples:
      | gap   | first | second     |
      | 100   | -     | Event      |
      | 1000  | -     | Event      |
      | 1001  | Tick  | Tick Event |
      | 60000 | Tick  | Tick Event |

  Scenario Outline: histograms are bounded in number and keep the latest
    Given metrics into which waits of <teams> teams were recorded
    Then <held> histograms are held, the last one with count 1

    Examples:
      | teams | held |
      | 3     | 3    |
      | 1024  | 1024 |
      | 1100  | 1024 |

  Scenario Outline: a log line as JSON names its part
    When "<line>" is logged as JSON
    Then the JSON line has part "<part>" and message "<message>"

    Examples:
      | line                        | part     | message               |
      | platform: the store is down | platform | the store is down     |
      | no prefix                   |          | no prefix             |
