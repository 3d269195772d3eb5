Feature: one timer service that parts subscribe to

  Scenario Outline: subscribers are called when due
    Given a timer service at <start> ms
    When a callback subscribes <kind> <period> ms
    And the time becomes <end> ms in steps of <step> ms
    Then it was called <calls> times

    Examples:
      | start | kind  | period | end  | step | calls |
      | 0     | every | 100    | 1000 | 10   | 10    |
      | 0     | every | 100    | 1000 | 1000 | 1     |
      | 0     | after | 100    | 1000 | 10   | 1     |
      | 500   | after | 100    | 599  | 1    | 0     |

  Scenario: a cancelled subscription is not called again
    Given a timer service at 0 ms
    When a callback subscribes every 100 ms
    And it cancels its subscription
    And the time becomes 1000 ms in steps of 10 ms
    Then it was called 0 times
