Feature: routing policies choose usable endpoints and avoid bad ones

  Scenario Outline: routing: every policy chooses present, allowed and, if required, free endpoints
    Given routing: the policy <policy>
    And routing: endpoints a with 1 free, b with 0 free, c with 2 free
    Then routing: 200 choices return <chosen> only
    When routing: endpoint a is removed
    Then routing: 200 choices return c only
    And routing: 200 choices without c return no endpoint
    And routing: 200 choices without c, full or not, return b only
    When routing: endpoint c has no free slot
    Then routing: 200 choices return no endpoint
    And routing: 200 choices, full or not, return <full> only

    Examples:
      | policy       | chosen | full |
      | power-of-two | a c    | b c  |
      | least-loaded | a c    | b    |
      | round-robin  | a c    | b c  |

  Scenario Outline: routing: many entry VMs with the same stale load data
    Given routing: 50 entry VMs with the policy <policy>
    And routing: all have 10 endpoints with loads from 0 to 0.9
    When routing: each chooses once
    Then routing: no endpoint got more than <most> of the 50

    Examples:
      | policy       | most |
      | power-of-two | 20   |
      | least-loaded | 50   |
      | round-robin  | 50   |

  Scenario Outline: routing: slower endpoints get fewer requests
    Given routing: the policy <policy>
    And routing: endpoint a takes 10 ms and endpoint b 40 ms
    Then routing: of 1000 choices at least <least> return a

    Examples:
      | policy       | least |
      | power-of-two | 650   |
      | least-loaded | 1000  |
      | round-robin  | 500   |

  Scenario Outline: routing: an endpoint that fails is avoided and probed
    Given routing: an outlier detector with attempts at 3 good endpoints
    When routing: endpoint a fails <failures> times in a row
    Then routing: it is offered <slots> of 8 slots
    When routing: 1000 ms pass and <probes> probes of it fail in a row
    Then routing: the gaps between probes are <gaps>

    Examples:
      | failures | slots | probes | gaps                   |
      | 1        | 8     | 0      | none                   |
      | 2        | 8     | 0      | none                   |
      | 3        | 0     | 3      | 2000, 4000, 8000       |
      | 5        | 0     | 7      | 2000, 4000, 8000, 16000, 32000, 60000, 60000 |

  Scenario: routing: a successful probe ends the avoidance
    Given routing: an outlier detector with attempts at 3 good endpoints
    When routing: endpoint a fails 3 times in a row
    And routing: 1000 ms pass
    Then routing: it is offered 1 of 8 slots
    And routing: it is offered 0 of 8 slots while 1 is in use
    When routing: endpoint a succeeds in 20 ms
    Then routing: it is offered 8 of 8 slots

  Scenario Outline: routing: a slow endpoint is avoided
    Given routing: an outlier detector with attempts at 9 good endpoints
    When routing: endpoint a succeeds 30 times in <elapsed> ms
    Then routing: it is offered <slots> of 8 slots

    Examples:
      | elapsed | slots |
      | 20      | 8     |
      | 45      | 8     |
      | 900     | 0     |

  Scenario: routing: slowness never causes most endpoints to be avoided
    Given routing: an outlier detector with attempts at 9 good endpoints
    When routing: all endpoints become slow one after the other
    Then routing: at most 3 are avoided

  Scenario Outline: routing: requests that fail everywhere cause no avoidance
    Given routing: an outlier detector with attempts at <count> good endpoints
    When routing: every endpoint fails 30 times in turn, reached <reached>
    Then routing: <least> to <most> are avoided

    Examples:
      | count | reached | least | most |
      | 1     | yes     | 0     | 0    |
      | 1     | no      | 1     | 1    |
      | 2     | yes     | 0     | 0    |
      | 9     | yes     | 0     | 0    |
      | 9     | no      | 9     | 9    |
