Feature: bookings from measured use, and reclaiming from overcommitted workers

  Scenario Outline: bookings lie between the declared and the observed use
    When <tasks> tasks declare 1000 millicores and use <used>
    Then <low> to <high> are booked for a task that declares <declared>

    Examples:
      | tasks | used  | declared | low   | high  |
      | 0     | 0     | 1000     | 1000  | 1000  |
      | 1     | 100   | 1000     | 900   | 950   |
      | 1000  | 100   | 1000     | 100   | 130   |
      | 1000  | 1000  | 1000     | 1000  | 1000  |
      | 1000  | 10000 | 1000     | 9900  | 11400 |
      | 1000  | 10000 | 100      | 990   | 1140  |
      | 1000  | 10000 | 30000    | 64000 | 64000 |

  Scenario: one task in ten that is large sets the booking
    When 900 tasks declare 1000 millicores and use 100
    And 100 tasks declare 1000 millicores and use 1000
    Then 980 to 1000 are booked for a task that declares 1000

  Scenario: old observations lose weight
    When 1000 tasks declare 1000 millicores and use 10000
    And 5000 tasks declare 1000 millicores and use 100
    Then 100 to 200 are booked for a task that declares 1000

  Scenario Outline: excess is reclaimed by the mildest step that applies
    Given a worker overcommitted by 4 cores since 0 ms with tasks <tasks>
    When the reclaim action is requested at <now> ms
    Then the reclaim action is <action>

    Examples: booked/used, C checkpointable, T throttled, U urgent, S service
      | tasks                    | now  | action         |
      | a 4/8, b 4/4             | 0    | throttle a     |
      | a 4/8 C, b 4/4           | 1999 | throttle a     |
      | a 4/8 C, b 4/4           | 2000 | checkpoint a   |
      | a 4/8 C, b 4/4           | 6999 | checkpoint a   |
      | a 4/8 C, b 4/4           | 7000 | stop a         |
      | a 4/8 T, b 4/4 C         | 0    | checkpoint b   |
      | a 4/8 T, b 4/4           | 0    | stop a         |
      | a 8/8, b 4/4             | 0    | stop a         |
      | a 8/8 S, b 4/4           | 0    | stop b         |
      | a 8/8 U, b 4/4           | 0    | stop b         |
      | a 4/6, b 4/6             | 0    | throttle a,b   |
      | a 2/2, b 2/2, c 2/2      | 0    | stop a,b       |

  Scenario: no action is taken on a worker that is not overcommitted
    Given a worker overcommitted by 0 cores since 0 ms with tasks a 4/8
    When the reclaim action is requested at 9000 ms
    Then no reclaim action is selected
