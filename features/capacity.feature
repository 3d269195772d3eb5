Feature: Working out the capacity from measured slopes

  Scenario Outline: A line through points
    Given the capacity points <points>
    When a capacity line is fitted
    Then its capacity gradient is <gradient>, base <base> and spread <spread>

    Examples:
      | points                | gradient | base | spread |
      | 0:1 10:21             | 2        | 1    | 0      |
      | 0:0 1:1 2:2 3:3       | 1        | 0    | 0      |
      | 5:7                   | 0        | 7    | 0      |
      | 0:0 1:30 2:0          | 0        | 10   | 66.667 |
      | 0:0 0:0               | 0        | 0    | 0      |

  Scenario Outline: A budget is met or not
    Given a capacity slope "daemon idle, % of a core" of <gradient> and <base>
    When the capacity is worked out for <vms> entry VMs
    Then the capacity row "control, % of a core, daemon with its workers" says <headroom>

    Examples:
      | gradient | base | vms | headroom         |
      | 0.005    | 0.5  | 220 | 1.5 x            |
      | 0.01     | 0.5  | 220 | 1.0 x            |
      | 0.02     | 1.0  | 220 | **not met**, 2.0 x |

  Scenario: A slope that is missing is not measured
    Given no capacity slope
    When the capacity is worked out for 132 entry VMs
    Then every capacity row is not measured

  Scenario: Slopes are read as they were written
    Given a capacity slope "daemon idle, % of a core" of 0.25 and 3
    When the capacity slopes are written and read
    Then the capacity slopes are the same
