Feature: each shard has one owner, under an epoch that only rises

  Scenario Outline: shards are spread evenly, and few move when a VM ends
    Given 64 shards assigned to <vms> VMs
    When one VM ends
    Then no VM had more than <limit> shards
    And at most <moved> shards of other VMs moved
    And each shard of the ended VM went to its second candidate

    Examples:
      | vms | limit | moved |
      | 2   | 40    | 0     |
      | 4   | 20    | 8     |
      | 8   | 10    | 8     |
      | 12  | 7     | 8     |

  Scenario Outline: every shard has an owner again after <event>
    Given a virtual cluster of 2 data centres with 3 entry VMs each
    When <event> happens to the initial owner of shard 0
    And the virtual cluster runs for <ms> ms
    Then every shard has one owner in the tables of all VMs
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

  Scenario: an outage of the store stops takeovers and nothing else
    Given a virtual cluster of 2 data centres with 3 entry VMs each
    When store outage + crash happens to the initial owner of shard 0
    And the virtual cluster runs for 20000 ms
    Then only the shards of the ended VM have no owner
    When healing happens to the initial owner of shard 0
    And the virtual cluster runs for 7000 ms
    Then every shard has one owner in the tables of all VMs
    And the oracle saw no violation

  Scenario: an owner is informed of its replacement without the store
    Given a virtual cluster of 1 data centres with 3 entry VMs each
    When the owner of shard 0 is cut off from the platform and all its shards get another owner
    And the virtual cluster runs for 4000 ms
    Then it owns none of these shards under its old epoch
    And the oracle saw no violation
