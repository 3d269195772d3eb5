Feature: what a plan costs does not grow with endpoints times waiting stages

  The tests guard against an owner whose plans take longer the more stages
  wait, until it is late with polls and starts. Decisions must stay those of
  a plain walk over all endpoints.

  Scenario Outline: each endpoint is considered once a plan, not once a stage
    Given a planner of <endpoints> full endpoints and <stages> waiting stages
    When a plan is made
    Then <endpoints> endpoints were considered

    Examples:
      | endpoints | stages |
      | 1         | 1      |
      | 40        | 1      |
      | 40        | 30     |

  Scenario Outline: the room index finds what a plain walk finds
    Given <count> endpoints with random runs, from seed <seed>
    Then 40 random needs fit where a plain walk finds room

    Examples:
      | count | seed |
      | 1     | 1    |
      | 30    | 2    |
      | 30    | 3    |
      | 90    | 4    |

  Scenario Outline: an overdue end is found when a plain walk finds it
    Given 1 endpoints with random runs, from seed <seed>
    Then 300 random changes leave it overdue as a plain walk does

    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |
