Feature: attempts reach runners at most once and end in one event

  Scenario Outline: runners: how an attempt ends
    Given runners: a runner with <state>
    When runners: an attempt is sent
    Then runners: it ends as <outcome> with leaving <leaving>
    And runners: the runner executed it <times> times

    Examples:
      | state               | outcome    | leaving | times |
      | no fault            | answered   | no      | 1     |
      | the fault fail      | answered   | no      | 1     |
      | the fault cut       | unknown    | no      | 1     |
      | the fault hang      | unknown    | no      | 1     |
      | the fault refuse    | refused    | no      | 0     |
      | a drain under way   | refused    | yes     | 0     |
      | no listener         | never-sent | no      | 0     |
      | an answer too long  | unknown    | no      | 1     |
      | no length in answer | unknown    | no      | 1     |
      | a plain 503         | answered   | no      | 1     |
      | a type we can't send | unknown   | no      | 0     |

  Scenario Outline: runners: a probe tells the slots in use
    Given runners: a runner with <state>
    When runners: it is probed
    Then runners: the probe tells <used>

    Examples:
      | state             | used                    |
      | no fault          | 0 used and not leaving  |
      | a drain under way | 0 used and leaving      |
      | no listener       | nothing                 |
      | an answer too long | nothing                |

  Scenario: runners: a connection that broke is not used again
    Given runners: a runner with the fault cut
    When runners: an attempt is sent
    And runners: the fault ends
    And runners: an attempt is sent
    Then runners: it ends as answered with leaving no

  Scenario: runners: a connection that was never read from is not used again
    Given runners: a runner with a first connection that it never reads
    When runners: an attempt with a body of 8000000 bytes is sent
    Then runners: it ends as unknown with leaving no
    When runners: 4 attempts are sent at once over 4 connections
    Then runners: the last 4 ended as answered

  Scenario: runners: connections are bounded
    Given runners: a runner with no fault
    When runners: 40 attempts are sent at once over 4 connections
    Then runners: each ended once
    And runners: at most 4 were executed at a time
