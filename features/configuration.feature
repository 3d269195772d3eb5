Feature: the configuration reaches every VM and never reverts

  Scenario Outline: configuration: edits under <fault>
    Given a configuration fleet of 12 VMs in 3 data centres, seed <seed>
    And the configuration fault <fault>
    When 20 configuration edits are made, 400 ms apart
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

  Scenario: configuration: a restarted VM catches up from peers during an outage
    Given a configuration fleet of 12 VMs in 3 data centres, seed 1
    When 5 configuration edits are made, 400 ms apart
    And the store goes down for the configuration
    And the configuration VM vm-000 is restarted without its state
    And 3000 ms of virtual time pass for the configuration
    Then each VM has the latest configuration

  Scenario: configuration: a withdrawal reaches a VM that can't reach the store
    Given a configuration fleet of 12 VMs in 3 data centres, seed 1
    And a configuration key that every VM accepts
    When data centre dc-00 can't reach the store of the configuration
    And the configuration key is withdrawn
    And 3000 ms of virtual time pass for the configuration
    Then no VM accepts the configuration key

  Scenario Outline: configuration: a withdrawn key stays withdrawn when <event>
    Given a configuration fleet of 12 VMs in 3 data centres, seed 1
    And a configuration key that every VM accepts
    When the configuration key is withdrawn
    And 3000 ms of virtual time pass for the configuration
    And the configuration event happens: <event>
    Then no VM accepts the configuration key

    Examples:
      | event                   |
      | the key is issued again |
      | every VM is replaced    |
      | an old snapshot arrives |
      | old edits arrive        |

  Scenario: configuration: a restarted VM that reads a stale store accepts no old key
    Given a configuration fleet of 12 VMs in 3 data centres, seed 1
    And a configuration key that every VM accepts
    And the reads of the configuration's store are stale
    When the configuration key is withdrawn
    And 3000 ms of virtual time pass for the configuration
    And the configuration VM vm-004 is restarted without its state
    Then the restarted VM vm-004 never accepts the configuration key

  Scenario Outline: configuration: a new VM with <input> <result> verify keys
    Given a configuration replica started at 0 ms, keys valid for 30000 ms without contact
    When the new configuration replica receives <input>
    Then the new configuration replica <result> verify keys

    Examples:
      | input                       | result |
      | nothing until 1999 ms       | can't  |
      | nothing until 2000 ms       | can    |
      | a peer's revision 5 at 5 ms | can't  |
      | a peer's revision 0 at 5 ms | can    |

  Scenario: configuration: what a new VM read takes effect once it has settled
    Given a configuration replica started at 0 ms, keys valid for 30000 ms without contact
    When the new configuration replica reads a head of revision 3 at 5 ms
    Then it notifies its VM of configuration revisions none
    When the new configuration replica receives nothing until 2000 ms
    Then it notifies its VM of configuration revisions 3
    When the new configuration replica receives nothing until 2100 ms
    Then it notifies its VM of configuration revisions none

  Scenario: configuration: the keys of a removed team are refused
    Given a configuration fleet of 12 VMs in 3 data centres, seed 1
    And a configuration key that every VM accepts
    When the configuration event happens: its team is removed
    Then no VM accepts the configuration key

  Scenario: configuration: VMs compensate for an undetected dead watcher
    Given a configuration fleet of 4 VMs in 1 data centres, seed 1
    And a configuration key that every VM accepts
    And the configuration fault watcher dead, undetected
    When 1 configuration edits are made, 400 ms apart
    Then within 9000 ms each VM has the latest configuration

  Scenario: configuration: a withdrawal applies before the missing edits arrive
    Given a configuration replica with a key of revision 1
    When a configuration peer sends revision 4, which withdraws the key
    Then the configuration replica refuses the key
    And it requests the missing edits from that peer
    And its configuration is still of revision 1

  Scenario Outline: configuration: what a peer lacks is sent as <kind>
    Given a configuration replica that applied <edits> edits
    When a configuration peer of revision <revision> compares
    Then the configuration replica answers with <kind>

    Examples:
      | edits | revision | kind     |
      | 3     | 3        | nothing  |
      | 3     | 1        | edits    |
      | 300   | 290      | edits    |
      | 300   | 0        | snapshot |
      | 3     | 7        | nothing  |

  Scenario Outline: configuration: keys stay valid for <valid> ms without contact
    Given a configuration fleet of 4 VMs in 2 data centres, keys valid for <valid> ms without contact
    And a configuration key that every VM accepts
    When the configuration VM vm-000 is cut off from <cut>
    And <passed> ms of virtual time pass for the configuration
    Then the configuration VM vm-000 <result> the key

    Examples:
      | valid | cut                 | passed | result  |
      | 30000 | everything          | 25000  | accepts |
      | 30000 | everything          | 35000  | refuses |
      | 30000 | the store           | 60000  | accepts |
      | 60000 | everything          | 50000  | accepts |

  Scenario: configuration: a VM with an expired configuration accepts keys after contact
    Given a configuration fleet of 4 VMs in 2 data centres, keys valid for 30000 ms without contact
    And a configuration key that every VM accepts
    When the configuration VM vm-000 is cut off from everything
    And 40000 ms of virtual time pass for the configuration
    And the configuration faults end
    And 4000 ms of virtual time pass for the configuration
    Then the configuration VM vm-000 accepts the key

  Scenario: configuration: a delayed reply counts from the time of its request
    Given a configuration replica started at 0 ms, keys valid for 30000 ms without contact
    When a reply to its comparison of 1000 ms arrives at 40000 ms
    Then the age of its configuration is 39000 ms

  Scenario Outline: configuration: a document that is <document> is ignored
    Given a configuration replica with a key of revision 1
    When the store reports the configuration head <document>
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
    When the store reports a configuration head of revisions 2 and 4
    Then its configuration is still of revision 1
    And it reads the configuration's snapshot

  Scenario: configuration: no order of updates makes a replica revert
    Then no order of configuration updates reverts a replica

  Scenario: configuration: the rate of calls to the store is bounded
    Given a configuration fleet of 44 VMs in 11 data centres, seed 1
    When 120 configuration edits are made, 500 ms apart
    Then the store was called at most 30 times a second about the configuration

  Scenario: configuration: the design size of 380 teams fits into the store
    Given a configuration replica with 380 teams and 1520 keys
    When 5000 more keys are issued and withdrawn in the configuration
    Then the configuration's document is within the store's size limit
    And the configuration replica refuses each withdrawn key
    And the configuration replica accepts 1520 keys
