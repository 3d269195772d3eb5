Feature: one owner for each shard, under an epoch that only rises

  Scenario Outline: shards are spread evenly and move little
    Given 64 shards assigned to <vms> VMs
    When one VM ends
    Then no VM had more than <most> shards
    And at most <moved> shards of other VMs moved
    And each of its shards went to its second candidate

    Examples:
      | vms | most | moved |
      | 2   | 40   | 0     |
      | 4   | 20   | 8     |
      | 8   | 10   | 8     |
      | 12  | 7    | 8     |

  Scenario Outline: shards find an owner after <event>
    Given a virtual cluster of 2 data centres with 3 entry VMs each
    When <event> befalls the owner of shard 0
    And the virtual cluster runs for <ms> ms
    Then every shard has one owner that all VMs know
    And <change> epochs rose
    And the oracle saw no violation

    Examples:
      | event                        | ms    | change |
      | crash                        | 6000  | some   |
      | drain                        | 800   | some   |
      | short pause                  | 6000  | no     |
      | long pause                   | 15000 | some   |
      | lost store answers + crash   | 12000 | some   |
      | store outage                 | 30000 | no     |
      | data centre cut              | 30000 | no     |

  Scenario: an outage of the store freezes takeovers and nothing else
    Given a virtual cluster of 2 data centres with 3 entry VMs each
    When store outage + crash befalls the owner of shard 0
    And the virtual cluster runs for 20000 ms
    Then only shards of the ended VM lack an owner
    When healing befalls the owner of shard 0
    And the virtual cluster runs for 7000 ms
    Then every shard has one owner that all VMs know
    And the oracle saw no violation

  Scenario: an owner learns of its replacement without the store
    Given a virtual cluster of 1 data centres with 3 entry VMs each
    When the owner of shard 0 loses the platform and then all its shards to others
    And the virtual cluster runs for 4000 ms
    Then it owns none of them under its old epoch
    And the oracle saw no violation
