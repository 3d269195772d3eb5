Feature: every policy keeps the contract

  Scenario Outline: equal seeds give equal answers and queries have no side effects
    Given the policy <policy> with seed 3
    When it is run for 300 random steps from seed <seed>
    Then a second policy with the same seeds gave the same answers
    And its description is made of plain values
    And repeated queries change neither its description nor its answers

    Examples:
      | policy           | seed |
      | fair-share       | 1    |
      | first-come       | 1    |
      | strict-priority  | 1    |
      | first-fit        | 1    |
      | indexed-best-fit | 1    |
      | sampled-best-fit | 1    |
      | cheapest-victims | 1    |
      | size-learner     | 1    |
      | cut-back-ladder  | 1    |
      | failure-judge    | 1    |

  Scenario Outline: a parameter outside its bounds is refused
    When the policy <policy> is made with <parameter> = <value>
    Then a setting error names <parameter>

    Examples:
      | policy           | parameter          | value |
      | fair-share       | half_life_ms       | 0     |
      | fair-share       | half_life_ms       | 1.5   |
      | fair-share       | history_weight     | -1    |
      | fair-share       | history_step_ms    | 0     |
      | fair-share       | remote_weight      | 2     |
      | fair-share       | remote_ttl_ms      | 0     |
      | indexed-best-fit | cells              | 0     |
      | indexed-best-fit | reservation_ms     | 0     |
      | indexed-best-fit | probes             | 0     |
      | indexed-best-fit | spread_candidates  | 0     |
      | sampled-best-fit | samples            | 0     |
      | sampled-best-fit | rounds             | 0     |
      | cheapest-victims | candidates         | 0     |
      | cheapest-victims | teams              | 0     |
      | size-learner     | quantile           | 1.1   |
      | size-learner     | confident_samples  | 0     |
      | size-learner     | window             | 1     |
      | cut-back-ladder  | throttle_wait_ms   | -1    |
      | cut-back-ladder  | checkpoint_wait_ms | -1    |
      | failure-judge    | worker_failures    | 0     |
      | failure-judge    | job_places         | 0     |
      | failure-judge    | first_gap_ms       | 0     |
      | failure-judge    | max_jobs           | 0     |

  Scenario Outline: an unknown name is refused
    When a <kind> policy named nonesuch is made
    Then a setting error names <kind>

    Examples:
      | kind      |
      | queue     |
      | placement |

  Scenario Outline: a queue matches the reference state
    Then the queue <policy> agrees with the reference state in 60 random runs

    Examples:
      | policy          |
      | fair-share      |
      | first-come      |
      | strict-priority |

  Scenario Outline: a placement matches the reference state
    Then the placement <policy> agrees with the reference state in 60 random runs

    Examples:
      | policy           |
      | first-fit        |
      | indexed-best-fit |
      | sampled-best-fit |

  Scenario Outline: a cancellation wave leaves nothing behind
    Given the policy <policy> with seed 1
    When 60000 items are queued and 50000 cancelled
    Then it holds the 10000 others and one of the oldest three is next
    And its lanes take less than a quarter of the memory
    And it is empty once the others are cancelled

    Examples:
      | policy          |
      | fair-share      |
      | first-come      |
      | strict-priority |
