Feature: no team ever has more running than its upper limit

  Scenario Outline: tokens are split by max-min fairness
    When <total> tokens are split over demands <demands>
    Then the split is <split>

    Examples:
      | total | demands | split |
      | 0     | 3,3     | 0,0   |
      | 10    | 3,3     | 3,3   |
      | 10    | 2,9,9   | 2,4,4 |
      | 7     | 9,9,9   | 3,2,2 |
      | 1     | 1,1,1   | 1,0,0 |
      | -4    | 2,2     | 0,0   |

  Scenario: no order of messages creates a token
    Then 200 random exchanges with lost, repeated and reordered messages never leave a holder with more than was granted

  Scenario Outline: a small limit can be used from any VM
    Given a virtual cluster of <centres> data centres with <vms> entry VMs each and limit <limit>
    When VM <vm> alone wants to run <limit> units
    And the virtual cluster runs for 4000 ms
    Then VM <vm> started at least one unit
    And the oracle saw no violation

    Examples:
      | centres | vms | limit | vm    |
      | 1       | 3   | 1     | a-2   |
      | 2       | 3   | 1     | a-2   |
      | 2       | 3   | 3     | b-6   |
      | 11      | 12  | 3     | k-130 |

  Scenario Outline: a lowered limit is kept and a raised one is used
    Given a virtual cluster of 2 data centres with 3 entry VMs each and limit <before>
    When every VM wants to run 20 units
    And the virtual cluster runs for 15000 ms
    And the limit becomes <after>
    And the virtual cluster runs for 20000 ms
    Then between <least> and <after> units ran in the last second
    And the oracle saw no violation

    Examples:
      | before | after | least |
      | 40     | 8     | 4     |
      | 8      | 40    | 20    |
      | 12     | 0     | 0     |

  Scenario: the ledger stays small and is written seldom
    Given a ledger of 380 teams in 11 data centres
    Then its value has fewer than 40000 bytes
    Given a virtual cluster of 4 data centres with 3 entry VMs each and limit 40
    When every VM wants to run 20 units
    And the virtual cluster runs for 60000 ms
    Then the store received fewer than 2 writes a second

  Scenario: a data centre that is cut off keeps using its tokens
    Given a virtual cluster of 2 data centres with 3 entry VMs each and limit 12
    When every VM wants to run 4 units
    And the virtual cluster runs for 15000 ms
    And store outage + data centre cut happens to VM a-1, with a-2 at the other end of its links
    And the virtual cluster runs for 60000 ms
    Then units of both data centres ran in the last 10 seconds
    And the oracle saw no violation
