Feature: the configuration reaches every VM and never reverts

  Scenario Outline: configuration: edits under <fault>
    Given a configuration fleet of 12 VMs in 3 data centres, seed <seed>
    And the configuration fault <fault>
    When 20 configuration edits come, 400 ms apart
    And the configuration faults end
    Then within <within> ms each VM has the latest configuration
    And no VM's configuration ever reverted

    Examples:
      | fault              | within | seed |
      | none               | 300    | 1    |
      | loss               | 5000   | 2    |
      | duplicates         | 4000   | 3    |
      | stale reads        | 1000   | 4    |
      | watcher dies       | 1000   | 5    |
      | all restarted      | 1000   | 6    |
      | one paused         | 1000   | 7    |
      | store cut for one  | 500    | 8    |
      | store cut for all  | 9000   | 9    |
      | partition          | 3000   | 10   |
      | isolated           | 3000   | 11   |
      | flapping           | 3000   | 12   |

  Scenario: configuration: a restarted VM learns from peers during an outage
    Given a configuration fleet of 12 VMs in 3 data centres, seed 1
    When 5 configuration edits come, 400 ms apart
    And the store goes down for the configuration
    And the configuration VM vm-000 is replaced
    And 3000 ms of configuration time pass
    Then each VM has the latest configuration

  Scenario: configuration: a withdrawal reaches a VM that can't ask the store
    Given a configuration fleet of 12 VMs in 3 data centres, seed 1
    And a configuration key that every VM accepts
    When data centre dc-00 can't reach the store of the configuration
    And the configuration key is withdrawn
    And 3000 ms of configuration time pass
    Then no VM accepts the configuration key

  Scenario Outline: configuration: a withdrawn key stays withdrawn <after>
    Given a configuration fleet of 12 VMs in 3 data centres, seed 1
    And a configuration key that every VM accepts
    When the configuration key is withdrawn
    And 3000 ms of configuration time pass
    And the configuration meets <after>
    Then no VM accepts the configuration key

    Examples:
      | after                 |
      | the key given again   |
      | every VM replaced     |
      | an old snapshot       |
      | old edits             |

  Scenario: configuration: a new VM that reads a stale store takes no old key
    Given a configuration fleet of 12 VMs in 3 data centres, seed 1
    And a configuration key that every VM accepts
    And the reads of the configuration's store are stale
    When the configuration key is withdrawn
    And 3000 ms of configuration time pass
    And the configuration VM vm-004 is replaced
    Then the new VM vm-004 never accepts the configuration key

  Scenario Outline: configuration: a new VM with <news> <verdict> judge keys
    Given a configuration replica started at 0 ms, keys valid 30000 ms
    When the new configuration replica has <news>
    Then the new configuration replica <verdict> judge keys

    Examples:
      | news                        | verdict   |
      | nothing at 1999 ms          | can't     |
      | nothing at 2000 ms          | can       |
      | a peer's revision 5 at 5 ms | can't     |
      | a peer's revision 0 at 5 ms | can       |

  Scenario: configuration: what a new VM read comes into force as it settles
    Given a configuration replica started at 0 ms, keys valid 30000 ms
    When the new configuration replica reads a head of revision 3 at 5 ms
    Then it tells its VM of configuration revisions none
    When the new configuration replica has nothing at 2000 ms
    Then it tells its VM of configuration revisions 3
    When the new configuration replica has nothing at 2100 ms
    Then it tells its VM of configuration revisions none

  Scenario: configuration: the keys of a removed team are refused
    Given a configuration fleet of 12 VMs in 3 data centres, seed 1
    And a configuration key that every VM accepts
    When the configuration meets its team removed
    Then no VM accepts the configuration key

  Scenario: configuration: a dead watcher that nobody notices is made up for
    Given a configuration fleet of 4 VMs in 1 data centres, seed 1
    And a configuration key that every VM accepts
    And the configuration fault watcher dead, unnoticed
    When 1 configuration edits come, 400 ms apart
    Then within 9000 ms each VM has the latest configuration

  Scenario: configuration: a withdrawal counts before the edits it follows
    Given a configuration replica with a key of revision 1
    When a configuration peer sends revision 4, which withdraws the key
    Then the configuration replica refuses the key
    And it asks that peer for what lies before
    And its configuration is still of revision 1

  Scenario Outline: configuration: what a peer lacks is sent as <kind>
    Given a configuration replica that took <edits> edits
    When a configuration peer of revision <revision> compares
    Then the configuration replica answers with <kind>

    Examples:
      | edits | revision | kind     |
      | 3     | 3        | nothing  |
      | 3     | 1        | edits    |
      | 300   | 290      | edits    |
      | 300   | 0        | snapshot |
      | 3     | 7        | nothing  |

  Scenario Outline: configuration: a VM without news goes on for <valid> ms
    Given a configuration fleet of 4 VMs in 2 data centres, keys valid <valid> ms
    And a configuration key that every VM accepts
    When the configuration VM vm-000 is cut off from <cut>
    And <passed> ms of configuration time pass
    Then the configuration VM vm-000 <verdict> the key

    Examples:
      | valid | cut                 | passed | verdict |
      | 30000 | everything          | 25000  | accepts |
      | 30000 | everything          | 35000  | refuses |
      | 30000 | the store           | 60000  | accepts |
      | 60000 | everything          | 50000  | accepts |

  Scenario: configuration: a cut-off VM accepts keys again once it has news
    Given a configuration fleet of 4 VMs in 2 data centres, keys valid 30000 ms
    And a configuration key that every VM accepts
    When the configuration VM vm-000 is cut off from everything
    And 40000 ms of configuration time pass
    And the configuration faults end
    And 4000 ms of configuration time pass
    Then the configuration VM vm-000 accepts the key

  Scenario: configuration: an answer that was long under way is no news
    Given a configuration replica started at 0 ms, keys valid 30000 ms
    When an answer to its comparison of 1000 ms comes at 40000 ms
    Then the age of its configuration news is 39000 ms

  Scenario Outline: configuration: a document that is <document> is ignored
    Given a configuration replica with a key of revision 1
    When the store tells the configuration head <document>
    Then its configuration is still of revision 1
    And the unreadable configuration document is counted

    Examples:
      | document                    |
      | {"revision":                |
      | []                          |
      | null                        |
      | {"revision": "nine"}        |
      | {"revision": 9, "edits": 1} |

  Scenario: configuration: a head whose edits have a gap is not applied
    Given a configuration replica with a key of revision 1
    When the store tells a configuration head of revisions 2 and 4
    Then its configuration is still of revision 1
    And it reads the configuration's snapshot

  Scenario: configuration: no order of news makes a replica revert
    Then no order of configuration news reverts a replica

  Scenario: configuration: calls to the store stay few
    Given a configuration fleet of 44 VMs in 11 data centres, seed 1
    When 120 configuration edits come, 500 ms apart
    Then the store was called at most 30 times a second about the configuration

  Scenario: configuration: a site of the size designed for fits into the store
    Given a configuration replica at a site of 380 teams with 1520 keys
    When 5000 keys more were given and withdrawn in the configuration
    Then the configuration's document is within the store's bound
    And the configuration replica refuses each withdrawn key
    And the configuration replica accepts 1520 keys
