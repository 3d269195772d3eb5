Feature: room is held for a task only where it will come free

  Tasks that need much of an endpoint would starve beside a stream of small
  ones. So endpoints are held for them; but a small task may use what a large
  one can't use, or not before the small one has ended.

  # review/5: room held for large tasks, which lasting tasks kept from it for
  # good, kept a small task waiting.
  Scenario Outline: what can never have its room keeps nothing from the rest
    Given 6 endpoints of 16 cores
    And 2 large endpoints of 32 cores
    And an owner of the cell
    When a long-running job of <lasting> tasks of 5 cores, <spread> on an endpoint, is submitted
    And 2000 ms pass
    And <large> that last 20000 ms is submitted with priority <priority>
    And 500 ms pass
    And a job "small" of 1 tasks of <cores> cores that last 1000 ms is submitted with priority 1
    And 600 ms pass
    Then 1 tasks of job "small" run
    And no invariant was violated

    Examples:
      | lasting | spread | large                                             | priority | cores |
      | 8       | 1      | a job "large" of 2 tasks of 28 cores              | 0        | 12    |
      | 8       | 1      | a job "large" of 2 tasks of 28 cores              | 1        | 12    |
      | 8       | 1      | a job "large" of 1 tasks of 28 cores              | 0        | 20    |
      | 8       | 1      | a gang "large" of 2 tasks of 28 cores             | 0        | 12    |
      | 8       | 1      | a gang "large" of 12 tasks of 10 cores            | 0        | 12    |
      | 8       | 1      | a long-running job "large" of 2 tasks of 28 cores | 0        | 12    |

  Scenario: an endpoint is not held for tasks that may not go there
    Given 1 large endpoints of 32 cores
    And an owner of the cell
    When a job "spread" of 2 tasks of 20 cores, 1 on an endpoint, that last 20000 ms is submitted with priority 0
    And 500 ms pass
    And a job "small" of 1 tasks of 10 cores that last 20000 ms is submitted with priority 1
    And 600 ms pass
    Then 1 tasks of job "small" run

  # What callers get: the small tasks run meanwhile, the large one is not later.
  Scenario Outline: small tasks use the room until the large task can have it
    Given 1 large endpoints of 32 cores
    And an owner of the cell
    When a job "first" of 1 tasks of 24 cores that last 10000 ms is submitted with priority 1
    And 500 ms pass
    And a job "large" of 1 tasks of 28 cores that last 20000 ms is submitted with priority 1
    And a task of 4 cores that lasts <small_ms> ms is submitted every 400 ms for 12 s with priority 2
    Then job "large" has started within <large_ms> ms
    And <early> small tasks or more have started before it

    Examples:
      | small_ms | large_ms | early |
      | 300      | 10100    | 15    |
      | 1000     | 10100    | 15    |
      | 3000     | 10100    | 4     |
      | 20000    | 10100    | 0     |

  Scenario: what waits beside a large task is told why
    Given 1 large endpoints of 32 cores
    And an owner of the cell
    When a job "first" of 1 tasks of 24 cores that last 10000 ms is submitted with priority 1
    And 500 ms pass
    And a job "large" of 1 tasks of 28 cores that last 20000 ms is submitted with priority 1
    And a job "small" of 1 tasks of 4 cores that last 20000 ms is submitted with priority 2
    And 500 ms pass
    Then job "large" waits for "room"
    And job "small" waits for "room that is held for other jobs"

  # They end later than was estimated, or earlier.
  Scenario Outline: a stream of small tasks does not starve a large one, however well they are estimated
    Given 4 large endpoints of 8 cores
    And an owner of the cell
    And tasks take <factor> times as long as estimated
    When a task of 1 cores that lasts <small_ms> ms is submitted every <gap_ms> ms for 30 s with priority 2
    And 4000 ms pass
    And a job "large" of 1 tasks of 7 cores that last 1000 ms is submitted with priority 1
    Then job "large" has started within <large_ms> ms

    Examples:
      | factor | small_ms | gap_ms | large_ms |
      | 1.0    | 800      | 25     | 1200     |
      | 1.0    | 3000     | 90     | 3600     |
      | 0.5    | 3000     | 45     | 3600     |
      | 3.0    | 800      | 70     | 3600     |
