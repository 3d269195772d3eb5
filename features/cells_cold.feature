Feature: endpoints that say that they are still slow get less work

  Scenario Outline: <priority> tasks go to a slow endpoint only if no other has room
    Given 2 endpoints of 4 cores in rack "r1", of which the first is slow for 5000 ms
    And 1 endpoints of 4 cores in rack "r2"
    And an owner of the cell
    When <tasks> <priority> tasks with data in rack "<rack>" are submitted
    And 200 ms pass
    Then <slow> tasks run on the slow endpoint

    Examples:
      | priority | tasks | rack | slow |
      | urgent   | 4     | r1   | 0    |
      | urgent   | 8     | r1   | 0    |
      | urgent   | 10    | r1   | 2    |
      | other    | 4     | r1   | 0    |
      | other    | 8     | r1   | 4    |

  Scenario: an endpoint is used like others once it is no longer slow
    Given 1 endpoints of 4 cores in rack "r1", of which the first is slow for 2000 ms
    And 1 endpoints of 4 cores in rack "r2"
    And an owner of the cell
    When 2500 ms pass
    And 4 urgent tasks with data in rack "r1" are submitted
    And 200 ms pass
    Then 4 tasks run on the slow endpoint

  Scenario Outline: a registration with <cold> is <outcome>
    When a registration with <cold> is decoded
    Then it is slow for <left> ms

    Examples:
      | cold                | outcome | left    |
      | cold_left_ms 1500   | slow    | 1500    |
      | cold_left_ms 0      | usual   | 0       |
      | no cold_left_ms     | usual   | 0       |
      | cold_left_ms -5     | refused | refused |
