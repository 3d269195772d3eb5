Feature: random plays keep what must always hold

  Scenario Outline: no violation, and nothing waits for ever
    Then <plays> random sites with <faults> complete all valid work without violations

    Examples:
      | plays | faults                                    |
      | 4     | nothing                                   |
      | 4     | cancellations                             |
      | 4     | failures                                  |
      | 4     | limits                                    |
      | 4     | foreign work                              |
      | 4     | sizes off                                 |
      | 8     | cancellations, failures, limits, foreign work, sizes off |
