Feature: keys are random, kept only as hashes, and overlap

  Scenario: keys: each key has 256 random bits and is found by its hash
    When 200 keys are made for a team
    Then each key carries 32 bytes, and all differ
    And no record holds a key
    And each record has the hash of its key

  Scenario: keys: a team's keys are good side by side until withdrawn
    Given a store of keys with the sample lists
    When two keys are given to kiosks
    And the first of the keys is withdrawn
    Then an entry VM takes the second key for kiosks, and refuses the first

  Scenario Outline: keys: <what> is refused
    Given a store of keys with the sample lists
    When <what> is tried with the keys
    Then the keys are refused with <code>

    Examples:
      | what                       | code      |
      | giving to an unknown team  | not-found |
      | withdrawing an unknown key | not-found |
