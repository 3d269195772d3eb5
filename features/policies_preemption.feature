Feature: urgent work preempts the cheapest tasks

  Scenario Outline: victims
    Given 50 cores of birch that cannot be preempted
    And a full worker for each of these tasks: <tasks>
    When urgent work of ash needs <cores> cores
    Then the victims are <victims>

    Examples: team, cores, start in ms, flags (C checkpointable, U urgent, S service, G gang); victims by position from 0
      | tasks                                  | cores | victims |
      | birch 4 100, ash 2 0                   | 4     | 0       |
      | birch 4 100, birch 4 200 C, ash 2 0    | 4     | 1       |
      | birch 4 100, birch 4 900, ash 2 0      | 4     | 1       |
      | birch 4 100 S, birch 4 50, ash 2 0     | 4     | 1       |
      | birch 4 0 U, ash 2 0                   | 4     | none    |
      | birch 4 0 G, ash 2 0                   | 4     | none    |
      | birch 4 0 GC, ash 2 0                  | 4     | 0       |
      | birch 4 0, ash 8 900                   | 4     | 1       |
      | birch 2 0, ash 2 0                     | 4     | none    |
      | birch 60 0, ash 2 0                    | 4     | none    |
      | birch 4 0, ash 60 0 U                  | 4     | none    |
      | birch 4 0, ash 55 0 U                  | 4     | none    |
      | birch 4 0, ash 50 0 U                  | 4     | 0       |
      | birch 4 100, cedar 4 900, ash 2 0      | 4     | 0       |

  Scenario: only as many as are needed, on one worker
    Given 50 cores of birch that cannot be preempted
    And one full worker with birch tasks of 4,4,16,4 cores
    When urgent work of ash needs 16 cores
    Then the victims are 2
