Feature: links between entry VMs

  Scenario Outline: a message survives its encoding
    When a sample with <field> set to <value> crosses the codec
    Then the same sample comes out

    Examples:
      | field          | value                       |
      | number         | -1                          |
      | task_id        | model.TaskId("j", 7)        |
      | work_class     | model.WorkClass.GANG        |
      | shards         | (model.ShardId("dc", 3),)   |
      | counts_by_name | {"a": 1}                    |
      | body           | bytes(range(256))           |

  Scenario Outline: frames of another version or broken ones
    When a frame of kind <kind> with fields <fields> is decoded
    Then the codec gives <result>

    Examples:
      | kind    | fields                   | result              |
      | Sample  | {"number": 3}            | Sample              |
      | Sample  | {"number": 3, "new": 1}  | Sample              |
      | Sample  | {}                       | BadInputError       |
      | Sample  | {"number": "x"}          | BadInputError       |
      | Sample  | [1]                      | BadInputError       |
      | Sample  | {"num                    | BadInputError       |
      | Newer   | {}                       | UnknownMessageError |

  Scenario Outline: every message arrives once and in order through faults
    Given two entry VMs with a proxy between them
    When 200 messages are sent
    And the link suffers: <fault>
    And 200 messages are sent
    Then <total> messages arrive once and in order

    Examples:
      | fault                              | total |
      | nothing                            | 400   |
      | its connections are cut            | 400   |
      | its open connections go silent     | 400   |
      | confirmations are lost, then a cut | 401   |

  Scenario: a peer without the secret delivers nothing
    Given two entry VMs with a proxy between them, one with a wrong secret
    When 5 messages are sent
    Then the sender hears that the peer is unreachable
    And 0 messages arrive once and in order

  Scenario: a peer that cannot be reached is reported, and may come back
    Given two entry VMs with a proxy between them
    When the proxy refuses connections
    And 5 messages are sent
    Then the sender hears that the peer is unreachable
    When the proxy accepts connections again
    And 7 messages are sent
    Then the last 7 messages arrive once and in order

  Scenario: a changed byte ends the connection and is not delivered
    Given two channels with a common secret
    When a message is changed on its way
    Then the receiving channel refuses it

  Scenario Outline: a batch that comes again is dropped
    Given two entry VMs with a proxy between them
    When batches <sequences> of a sender come on a connection each
    Then <total> batches are delivered

    Examples:
      | sequences | total |
      | 1 2 3     | 3     |
      | 1 1       | 1     |
      | 1 2 1 2   | 2     |
      | 2 1       | 1     |

  Scenario Outline: a stall of the sender itself is not taken for silence
    Given two entry VMs with a proxy between them
    When a message is unconfirmed and the sender's checks come <gaps> ms apart
    Then the sender has <found> the link to be silent

    Examples:
      | gaps                | found     |
      | 250 250             | not found |
      | 5000                | not found |
      | 5000 250 5000       | not found |
      | 250 250 5000 250 250 250 250 250 250 250 250 | found |
      | 400 400 400 400 400 400 | found  |
