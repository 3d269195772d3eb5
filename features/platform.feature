Feature: the platform client keeps to the store's limits and tells outcomes

  Scenario Outline: platform: a <call> is <outcome> when the stand-in is <state>
    Given a platform stand-in whose key x has version 3
    When the platform is <state>
    And a platform <call> is made
    Then the platform call ends as <outcome>, at version <version>

    Examples:
      | call           | state            | outcome     | version |
      | read           | well             | ok          | 3       |
      | read           | down             | unavailable | 0       |
      | read           | over its rate    | unavailable | 0       |
      | read           | stale            | ok          | 2       |
      | read of none   | well             | ok          | 0       |
      | swap           | well             | ok          | 4       |
      | swap           | down             | unavailable | 0       |
      | swap           | over its rate    | unavailable | 0       |
      | swap           | losing answers   | unknown     | 0       |
      | swap           | gone             | unavailable | 0       |
      | swap           | silent           | unknown     | 0       |
      | stale swap     | well             | conflict    | 3       |
      | big swap       | well             | unavailable | 0       |
      | watch          | well             | ok          | 3       |
      | watch          | down             | unavailable | 0       |
      | watch          | about to change  | ok          | 4       |

  Scenario Outline: platform: at most <most> calls in <ms> ms
    Given a platform budget of <rate> calls a second, burst <burst>
    When platform calls are asked for without end for <ms> ms
    Then at most <most> platform calls are due by then

    Examples:
      | rate | burst | ms    | most |
      | 5    | 20    | 1000  | 25   |
      | 5    | 20    | 60000 | 320  |
      | 2    | 1     | 10000 | 21   |

  Scenario: platform: failures are answered by a growing, jittered backoff
    Given a platform budget of 5 calls a second, burst 20
    When 12 platform calls fail, each as soon as the backoff allows
    Then each platform backoff is between half and all of 100 ms doubled, up to 5000 ms
    And a platform success ends the backoff

  Scenario: platform: the fleet list shows changes after its lag
    Given a platform fleet list with a lag of 1000 ms
    When a platform entry VM is listed at 0 ms, leaves at 5000 ms and goes at 7000 ms
    Then the platform shows
      | at_ms | shown   |
      | 999   | none    |
      | 1000  | alive   |
      | 5999  | alive   |
      | 6000  | leaving |
      | 8000  | none    |

  Scenario: platform: a client delivers changes, answers and the fleet list
    Given a platform stand-in whose key x has version 3
    And a platform client that watches x
    When the platform client swaps x
    And a platform worker of another data centre and one of ours are listed
    Then the platform client delivers the change, the answer and our worker
