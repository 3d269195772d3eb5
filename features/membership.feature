Feature: entry VMs agree on which of them are alive

  Scenario Outline: VM <observer> considers another <state> after <event>
    Given a virtual cluster of 2 data centres with 4 entry VMs each
    When <event> happens to VM a-1, with <observer> at the other end of its links
    And the virtual cluster runs for <ms> ms
    Then VM <observer> considers VM a-1 <state>
    And the oracle saw no violation

    Examples:
      | event            | observer | ms    | state   |
      | crash            | a-2      | 4500  | dead    |
      | crash            | b-5      | 12000 | dead    |
      | short pause      | a-2      | 6000  | alive   |
      | long pause       | a-2      | 4500  | dead    |
      | long pause       | a-2      | 12000 | alive   |
      | long pause       | b-5      | 20000 | alive   |
      | drain            | a-2      | 700   | leaving |
      | drain            | b-5      | 6000  | leaving |
      | link cut         | a-2      | 10000 | alive   |
      | link cut one way | a-2      | 10000 | alive   |
      | isolation        | a-2      | 4500  | dead    |
      | data centre cut  | a-2      | 10000 | alive   |
      | data centre cut  | b-5      | 8000  | suspect |

  Scenario Outline: all VMs consider each other alive after <event> has healed
    Given a virtual cluster of 2 data centres with 4 entry VMs each
    When <event> happens to VM a-1, with a-2 at the other end of its links
    And the virtual cluster runs for 30000 ms
    And healing happens to VM a-1, with a-2 at the other end of its links
    And the virtual cluster runs for 15000 ms
    Then every VM considers every other alive
    And the oracle saw no violation

    Examples:
      | event            |
      | isolation        |
      | data centre cut  |
      | link cut one way |

  Scenario: sismic and Chart interpret the state chart alike
    Given the state chart of a peer
    When 200 random sequences of 10 events are applied to it
    Then sismic and Chart agree on every state

  Scenario Outline: the cost per VM does not grow with the number of VMs
    When a quiet virtual cluster of <centres> data centres with <vms> entry VMs each is measured
    Then no VM sends more than <limit> bytes a second

    Examples:
      | centres | vms | limit |
      | 2       | 4   | 4000  |
      | 4       | 12  | 4000  |
      | 11      | 12  | 4000  |
