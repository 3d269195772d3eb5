Feature: every fault during every step, in virtual time

  Scenario Outline: all steps pass under <fault>
    Given the matrix of single faults was run
    Then no case of the fault <fault> fails

    Examples:
      | fault         |
      | crash         |
      | pause         |
      | store down    |
      | store slow    |
      | answer lost   |
      | change late   |
      | read stale    |
      | message lost  |
      | duplicated    |
      | reordered     |
      | late          |
      | list stale    |
      | centres cut   |
      | vm cut        |
      | one way       |
      | platform cut  |
      | vm isolated   |
      | clock drift   |
      | racing edits  |
      | worker link   |

  Scenario Outline: pairs of faults that once caused failures pass
    Given the case of <faults> during <step> under seed 1
    Then the case passes

    Examples:
      | faults                     | step       |
      | crash + vm isolated        | drain      |
      | store down + vm isolated   | token move |
      | change late + vm cut       | takeover   |
      | message lost + one way     | edit       |
      | duplicated + one way       | renew      |
      | late + one way             | drain      |
      | vm cut + platform cut      | edit       |
      | platform cut + vm isolated | renew      |

  Scenario Outline: a case fails without the guard: <guard>
    Given the case of <faults> during <step> under seed <seed>
    Then the case passes
    And the case fails without the guard <guard>

    Examples:
      | faults       | step       | seed | guard |
      | pause        | token move | 1    | worker refuses older epochs |
      | crash        | renew      | 1    | only a higher epoch replaces an entry |
      | crash        | token move | 1    | an entry takes effect once the store has it |
      | pause        | renew      | 1    | shards are dropped after a pause |
      | pause        | edit       | 1    | a VM refutes its own death |
      | crash        | renew      | 1    | grants are running totals |
      | crash        | renew      | 1    | tokens are debited before they move |
      | change late  | token move | 1    | an unclear write stays reserved until settled |
      | crash        | takeover   | 3    | unreported tokens wait for reports and the lapse |
      | crash        | takeover   | 1    | tokens of handed-over work stay reserved |
      | crash        | takeover   | 4    | work found running is booked |
      | racing edits | edit       | 1    | the ledger never exceeds a limit |
      | store slow   | edit       | 1    | a lowered limit removes tokens |
      | pause        | renew      | 1    | idle tokens are dropped after a pause |
      | vm isolated  | renew      | 1    | an isolated VM uses no tokens |
