Feature: the operators' lists are checked whole and applied once

  Scenario Outline: lists: a mistake in <file> is told with its place
    Given the sample lists
    When <text> of <file> is replaced by <mistake>
    Then the lists are refused with <count> problems
    And the first is at line <line>, path <path>, with <hint>

    Examples:
      | file       | text               | mistake               | line | path                  | hint                   | count |
      | teams.toml | plan = "nightly"   | plan = "nightl"       | 8    | teams.calendars.plan  | did you mean nightly?  | 1 |
      | teams.toml | plan = "nightly"   | plan = 3              | 8    | teams.calendars.plan  | write the name of a    | 1 |
      | teams.toml | plan = "nightly"   | plam = "nightly"      | 8    | teams.calendars.plam  | did you mean plan?     | 1 |
      | teams.toml | plan = "nightly"   | plan = nightly        | 8    | -                     | texts go in quotes     | 1 |
      | teams.toml | [teams.calendars]  | [teams.kiosks]        | 7    | -                     | not valid TOML         | 1 |
      | teams.toml | [teams.calendars]  | [teams."the rangers"] | 7    | teams.the rangers     | use 1 to 63 of a-z     | 1 |
      | teams.toml | [teams.calendars]  | [team.calendars]      | 7    | team                  | did you mean teams?    | 1 |
      | plans.toml | share = 4.0        | share = "4"           | 5    | plans.bookings.share  | a number above 0       | 1 |
      | plans.toml | share = 4.0        | share = nan           | 5    | plans.bookings.share  | a number above 0       | 1 |
      | plans.toml | share = 4.0        | share = inf           | 5    | plans.bookings.share  | a number above 0       | 1 |
      | plans.toml | share = 4.0        | share = 0             | 5    | plans.bookings.share  | a number above 0       | 1 |
      | plans.toml | share = 4.0        | share = true          | 5    | plans.bookings.share  | a number above 0       | 1 |
      | plans.toml | max_running = 400  | max_running = -1      | 13   | plans.nightly.max_running | a whole number     | 1 |
      | plans.toml | max_running = 400  | max_running = 4e2     | 13   | plans.nightly.max_running | a whole number     | 1 |
      | plans.toml | max_running = 400  | max_runing = 400      | 13   | plans.nightly.max_runing | did you mean max_running? | 1 |
      | plans.toml | max_running = 400  | #                     | 11   | plans.nightly.max_running | a whole number     | 1 |
      | plans.toml | ["holds", "notices"] | ["holds", "notice"] | 7    | plans.bookings.queues | did you mean notices?  | 1 |
      | plans.toml | ["holds", "notices"] | ["holds", "holds"]  | 7    | plans.bookings.queues | a list of names        | 1 |
      | plans.toml | ["holds", "notices"] | "holds"             | 7    | plans.bookings.queues | a list of names        | 1 |
      | plans.toml | classes = ["batch"] | classes = ["bach"]   | 15   | plans.nightly.classes | use some of: request   | 1 |
      | plans.toml | urgent = true      | urgent = "yes"        | 9    | plans.bookings.urgent | true or false          | 1 |
      | plans.toml | [plans.trial] | [plan.trial] | 23 | plan | did you mean plans? | 2 |
      | plans.toml | [plans.bookings]   | revision = "3"\n[plans.bookings] | 4 | revision      | as lists get wrote it  | 1 |

  Scenario: lists: every mistake is told at once
    Given the sample lists
    When share = 4.0 of plans.toml is replaced by share = -1
    And plan = "nightly" of teams.toml is replaced by plan = "nights"
    Then the lists are refused with 2 problems

  Scenario: lists: what is got is what is in force
    Given a store that holds the sample lists
    When the lists are got, and read again
    Then they don't differ from what the store holds

  Scenario Outline: lists: applying when the swaps go <script>
    Given a store that holds the sample lists
    And its next swaps go <script>
    When an operator applies a larger share for nightly
    Then applying ends with <end>
    And the larger share was accepted <times> times

    Examples:
      | script                    | end             | times |
      | ok                        | success         | 1     |
      | lost                      | success         | 1     |
      | lost lost lost            | success         | 1     |
      | dropped                   | success         | 1     |
      | dropped lost              | success         | 1     |
      | refused refused           | success         | 1     |
      | refused lost refused      | success         | 1     |
      | key-edit                  | success         | 1     |
      | key-edit key-edit lost    | success         | 1     |
      | list-edit                 | conflict        | 0     |
      | dropped list-edit         | conflict        | 0     |
      | lost-then-many            | success         | 1     |
      | refused refused refused refused refused refused | unavailable | 0 |
      | dropped dropped dropped dropped dropped dropped | outcome-unknown | 0 |
      | lost refused refused refused refused refused | outcome-unknown | 1 |

  Scenario Outline: lists: applying what was written against <base>
    Given a store that holds the sample lists
    And another operator's <others> edits
    When an operator applies a larger share for nightly, against <base>
    Then applying ends with <end>

    Examples:
      | others | base       | end       |
      | list   | revision 1 | conflict  |
      | list   | revision 2 | success   |
      | key    | revision 1 | success   |
      | many   | revision 1 | conflict  |
      | list   | revision 9 | bad-input |

  Scenario: lists: a lost race shows what the other operator changed
    Given a store that holds the sample lists
    And its next swaps go list-edit
    When an operator applies a larger share for nightly
    Then applying ends with conflict
    And the other operator's team newcomers is shown

  Scenario: lists: a stale read loses the race and no edit
    Given a store that holds the sample lists
    And another operator's key edits
    And the next read of the head is stale
    When an operator applies a larger share for nightly
    Then applying ends with success
    And the other operator's key is still there

  Scenario Outline: lists: many edits keep the documents small, <snapshots>
    Given a store that holds the sample lists
    And its snapshots are <snapshots>
    When 150 keys are given and withdrawn in turn
    Then the head has at most <bytes> bytes
    And a newcomer reads the 150 keys, withdrawn

    Examples:
      | snapshots | bytes  |
      | taken     | 8192   |
      | refused   | 200000 |

  Scenario: lists: what would not fit into the store is refused
    Given a store that holds the sample lists
    When an operator applies 30000 more teams
    Then applying ends with bad-input
    And the store still holds revision 1

  Scenario: lists: removing a team withdraws its keys for good
    Given a store that holds the sample lists
    And another operator's key edits
    When an operator applies the lists without the team rangers
    And an operator applies the lists with the team rangers
    Then the other operator's key is withdrawn
