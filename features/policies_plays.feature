Feature: random traces keep the invariants

  Scenario Outline: no violations, and all valid work completes
    Then <traces> random traces with <faults> complete all valid work without violations

    Examples:
      | traces | faults                                    |
      | 4      | nothing                                   |
      | 4      | cancellations                             |
      | 4      | failures                                  |
      | 4      | limits                                    |
      | 4      | foreign work                              |
      | 4      | sizes off                                 |
      | 8      | cancellations, failures, limits, foreign work, sizes off |
