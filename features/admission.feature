Feature: connections give way to others when there are too many, or too large

  Scenario Outline: among too many connections the longest waiting one goes
    Given room for 3 connections and 1000 bytes
    When these come to pass: <events>
    Then <closed> were closed and <refused> was refused

    Examples:
      | events                                      | closed | refused |
      | open a, open b, open c                      | none   | none    |
      | open a, open b, open c, open d              | a      | none    |
      | open a, open b, open c, busy a, open d      | b      | none    |
      | open a, open b, open c, wait a, open d      | b      | none    |
      | open a, open b, open c, 9 of a, open d      | a      | none    |
      | open a, open b, open c, close b, open d     | none   | none    |
      | open a, open b, open c, open d, open e      | a      | e       |
      | open a, open b, open c, open d, close a, open e | a, b | none  |
      | open a, busy a, open b, busy b, open c, busy c, open d | none | d |

  Scenario Outline: among too many bytes the largest request goes
    Given room for 9 connections and 1000 bytes
    When these come to pass: <events>
    Then <closed> were closed and none was refused
    And <bytes> bytes are being read

    Examples:
      | events                                              | closed | bytes |
      | open a, 1000 of a                                   | none   | 1000  |
      | open a, 1001 of a                                   | a      | 0     |
      | open a, open b, 600 of a, 300 of b, 200 of b        | a      | 500   |
      | open a, open b, 500 of a, 500 of b, open c, 10 of c | a      | 510   |
      | open a, open b, 500 of a, busy a, 900 of b          | none   | 900   |
      | open a, open b, 500 of a, close a, 900 of b         | none   | 900   |
      | open a, 900 of a, wait a, 900 of a                  | none   | 900   |
      | open a, busy a, 5000 of a                           | none   | 0     |

  Scenario Outline: the limits of a process follow from its memory and descriptors
    Given a process with <memory> MB and <descriptors> descriptors
    Then its callers may have <connections> connections and <bytes> bytes
    And its peers may have <peers> connections and its monitoring <monitoring>

    Examples:
      | memory | descriptors | connections | bytes    | peers | monitoring |
      | 0      | 0           | 2000        | 8388608  | 2000  | 64         |
      | 300    | 4100        | 1875        | 30000000 | 1025  | 64         |
      | 160    | 1638        | 819         | 16000000 | 409   | 51         |
      | 552    | 10250       | 3450        | 55200000 | 2562  | 64         |
      | 0      | 200         | 100         | 8388608  | 50    | 6          |
      | 120    | 0           | 750         | 12000000 | 2000  | 64         |
      | 1      | 1           | 1           | 1000000  | 1     | 1          |

  Scenario Outline: a server counts what it turns away, by reason
    Given a server with small limits
    When a client sends <what>
    Then it is answered with <status>
    And the server counts <reason>

    Examples:
      | what                                    | status  | reason        |
      | nothing                                 | nothing | idle-timeout  |
      | half a request line                     | nothing | head-timeout  |
      | half a head                             | 408     | head-timeout  |
      | a head of 2000 bytes                    | 431     | head          |
      | a request line of 9000 bytes            | 414     | head          |
      | half a body                             | 408     | body-timeout  |
      | a body that is too long                 | 413     | body          |
      | a body in chunks of one byte            | 413     | framing       |
      | trailers without end                    | 413     | framing       |
      | a body larger than all may be           | 503     | reading       |
      | requests, and never reads their answers | 200     | write-timeout |

  Scenario: a body that was cut short can be read again without a hang
    Given a body in chunks that was cut short
    When it is read twice
    Then the first read fails and the second one returns nothing
