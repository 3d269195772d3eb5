Feature: teams get their shares

  Scenario Outline: a full queue yields the fair shares for any task sizes and run times
    Given a fair queue with weights <weights> and history weight <history>
    When teams keep it full for 120 s with <cores> core tasks of <seconds> s
    Then each team's share of every 10 s is within <percent> % of its fair share

    Examples:
      | weights | history | cores | seconds | percent |
      | 1,1     | 0.25    | 1,1   | 1,1     | 1       |
      | 3,1     | 0.25    | 1,1   | 1,1     | 1       |
      | 1,1,1   | 0.25    | 1,4,8 | 2,2,2   | 2       |
      | 5,2,1   | 0.25    | 8,2,1 | 1,3,9   | 3       |
      | 5,2,1   | 0.0     | 8,2,1 | 1,3,9   | 3       |

  Scenario: one team alone gets everything
    Given a fair queue with weights 1,9 and history weight 0.25
    When only the first team keeps it full for 30 s
    Then it uses the whole data centre

  Scenario Outline: an idle team's credit is bounded and decays
    Given a fair queue with weights 1,1 and history weight <history>
    When the second team idles <idle> s and both then keep it full
    Then the second team's first share is between <low> % and <high> %
    And its share after 120 s is between 48 % and 52 %

    Examples:
      | history | idle | low | high |
      | 0.0     | 3600 | 45  | 50   |
      | 0.25    | 10   | 49  | 65   |
      | 0.25    | 3600 | 52  | 65   |

  Scenario: urgent work of a team whose urgent share is below its weight share goes first
    Given a fair queue with weights 1,1 and history weight 0.25
    And 70 cores of the first team run and 10 of the second
    When both queue batch work and the first also urgent work
    Then the first team's urgent work is next

  Scenario: urgent work of a team whose urgent share exceeds its weight share goes by score
    Given a fair queue with weights 1,1 and history weight 0.25
    And 70 urgent cores of the first team run and 10 of the second
    When both queue batch work and the first also urgent work
    Then the second team's batch work is next

  Scenario: requests of a team whose share is below its weight share go before batch work
    Given a fair queue with weights 1,9 and history weight 0.25
    And 5 cores of the first team run and 10 of the second
    When both queue batch work and the first also a request
    Then the first team's request is next

  Scenario: the item to shed is the newest of the team with the highest demand by weight
    Given a fair queue with weights 1,1 and history weight 0.25
    When the first team queues 100 items and the second 3
    Then the item to shed is the first team's last

  Scenario: requeued work goes before what its team has queued
    Given a fair queue with weights 1,1 and history weight 0.25
    When the first team queues 5 items and one is requeued at the front
    Then the requeued item is next

  Scenario: remote usage counts until it expires
    Given a fair queue with weights 1,1 and history weight 0.0
    When the first team uses 50 cores elsewhere and both queue work
    Then the second team is next just before 30000 ms and the first 1 s after
