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

  Scenario: an endpoint that changes between two plans counts as it is now
    Given a planner of 4 full endpoints and 2 waiting stages
    When a plan is made
    Then 0 tasks are placed, and the others wait for larger than any endpoint
    When endpoint 2 grows to 3 cores
    And a plan is made
    Then 3 tasks are placed, and the others wait for room

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

  Scenario Outline: tasks are packed where a plain search for the best fit puts them
    Given <count> endpoints with random runs, from seed <seed>
    Then 20 random steps of <tasks> tasks are packed as by a plain search

    Examples:
      | count | tasks | seed |
      | 1     | 9     | 21   |
      | 12    | 1     | 22   |
      | 12    | 40    | 23   |
      | 60    | 90    | 24   |

  Scenario: events that follow each other closely share a plan
    Given a cell with an endpoint of 40 cores
    When 20 jobs are read 1 ms apart, with a plan after each
    Then tasks were placed in 2 plans, 10 ms apart
    And the rest are placed by the plan that is due

  Scenario Outline: an owner short of processor time rests between its plans
    Given a cell with an endpoint of 40 cores
    When a plan took <elapsed_ms> ms, and events follow it at once
    Then the next plan is due <rest_ms> ms after it ended
    And an endpoint is polled before that

    Examples:
      | elapsed_ms | rest_ms |
      | 0          | 10      |
      | 5          | 15      |
      | 20         | 60      |
      | 400        | 100     |

  Scenario Outline: events between plans do not put the next plan off
    Given a cell with an endpoint of 40 cores
    When a plan took <elapsed_ms> ms, and an event follows every <gap_ms> ms that takes <event_ms> ms
    Then a task is placed within <within_ms> ms

    Examples: within the 100 ms of the longest rest and one event
      | elapsed_ms | gap_ms | event_ms | within_ms |
      | 5          | 4      | 2        | 106       |
      | 40         | 20     | 10       | 130       |
      | 400        | 60     | 30       | 190       |
