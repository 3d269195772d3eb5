Feature: work is placed where the remaining room is most usable

  Scenario Outline: GPU workers and whole workers are left free
    Given 8 plain workers and 4 GPU workers under <policy>
    When <tasks> tasks of 2 cores are placed
    Then no GPU worker is used
    And <empty> plain workers are empty

    Examples:
      | policy           | tasks | empty |
      | indexed-best-fit | 32    | 4     |
      | indexed-best-fit | 1     | 7     |
      | indexed-best-fit | 64    | 0     |
      | sampled-best-fit | 64    | 0     |

  Scenario: a GPU worker that has started is not filled with other work
    Given 8 plain workers and 4 GPU workers under indexed-best-fit
    When a task with an accelerator is placed
    And 57 tasks of 2 cores are placed
    Then 0 plain workers are empty
    And 1 GPU worker is used

  Scenario Outline: replicas of a service are spread over racks
    Given 16 plain workers and 0 GPU workers under <policy>
    When 20 tasks of 2 cores are placed
    And a service of <replicas> replicas is placed
    Then it is on <racks> racks and on <workers> workers

    Examples:
      | policy           | replicas | racks | workers |
      | indexed-best-fit | 2        | 2     | 2       |
      | indexed-best-fit | 4        | 4     | 4       |
      | indexed-best-fit | 8        | 4     | 8       |
      | sampled-best-fit | 4        | 4     | 4       |

  Scenario: a replica that is gone frees its rack
    Given 16 plain workers and 0 GPU workers under indexed-best-fit
    When a service of 4 replicas is placed
    And the replica on one rack is gone and placed again
    Then it is on 4 racks and on 4 workers

  Scenario Outline: a gang gets all its places or none
    Given 8 plain workers and 0 GPU workers under <policy>
    When <tasks> tasks of 2 cores are placed
    Then a gang of <count> tasks of <cores> cores gets <places> places

    Examples:
      | policy           | tasks | count | cores | places |
      | indexed-best-fit | 0     | 8     | 16    | 8      |
      | indexed-best-fit | 0     | 9     | 16    | 0      |
      | indexed-best-fit | 1     | 8     | 16    | 0      |
      | indexed-best-fit | 1     | 7     | 16    | 7      |
      | indexed-best-fit | 0     | 64    | 2     | 64     |
      | indexed-best-fit | 1     | 64    | 2     | 0      |
      | sampled-best-fit | 1     | 7     | 16    | 7      |

  Scenario: a starved gang gets the workers as they drain
    Given 8 plain workers and 0 GPU workers under indexed-best-fit
    When 64 tasks of 2 cores are placed
    And a gang of 4 tasks of 16 cores starves
    And every task ends while others keep coming
    Then the gang has its places

  Scenario: without a reservation the same gang is not placed
    Given 8 plain workers and 0 GPU workers under indexed-best-fit
    When 64 tasks of 2 cores are placed
    And every task ends while others keep coming
    Then the gang has no places

  Scenario: a gang that is too large for all workers gets no reservation
    Given 8 plain workers and 0 GPU workers under indexed-best-fit
    When 64 tasks of 2 cores are placed
    And a gang of 9 tasks of 16 cores starves
    Then no workers are reserved

  Scenario: a reservation that has expired is replaced by the next
    Given 8 plain workers and 0 GPU workers under indexed-best-fit
    When 64 tasks of 2 cores are placed
    And two gangs of 6 tasks of 16 cores starve
    And the second keeps starving until 60000 ms
    Then workers are reserved for the second gang alone

  Scenario: two starved gangs are never reserved workers at the same time
    Given 8 plain workers and 0 GPU workers under indexed-best-fit
    When 64 tasks of 2 cores are placed
    And two gangs of 6 tasks of 16 cores starve
    Then workers are reserved for the first gang alone
    And once it is withdrawn they are reserved for the second
    And once that is withdrawn none are reserved

  Scenario Outline: a reserved worker accepts work that ends in time
    Given 8 plain workers and 0 GPU workers under indexed-best-fit
    When 57 tasks of 2 cores are placed that end at 10000 ms
    And a gang of 8 tasks of 16 cores starves
    Then at <now> ms a task that runs <length> ms finds <found>

    Examples:
      | now  | length | found  |
      | 0    | 9000   | a worker |
      | 0    | 11000  | nothing  |
      | 9000 | 2000   | nothing  |
      | 0    | 0      | nothing  |

  Scenario Outline: free capacity of a worker shared with an older scheduler
    Given the allocation of a worker with 64 cores
    When it receives <events>
    Then at <now> ms it has room for <room> cores and an excess of <excess> cores

    Examples: reports; R total/ours@measured, B and D book and release
      | events                                   | now   | room | excess |
      | nothing                                  | 0     | 0    | 0      |
      | R 0/0@0                                  | 0     | 64   | 0      |
      | R 24/0@0                                 | 0     | 40   | 0      |
      | R 24/0@0, B a 10                         | 0     | 30   | 0      |
      | B a 10, R 24/0@0                         | 0     | 30   | 0      |
      | B a 10, R 34/a10@0                       | 0     | 30   | 0      |
      | B a 10, R 26/a2@0                        | 0     | 30   | 0      |
      | B a 10, R 44/a20@0                       | 0     | 20   | 0      |
      | B a 10, R 34/a10@0, D a, R 34/a10@0      | 0     | 40   | 0      |
      | R 34/a10@0                               | 0     | 30   | 0      |
      | R 40/0@0, R 0/0@1000                     | 1000  | 24   | 0      |
      | R 40/0@0, R 0/0@1000, R 0/0@3000         | 3000  | 64   | 0      |
      | R 0/0@0, R 40/0@1000                     | 1000  | 24   | 0      |
      | R 0/0@1000, R 40/0@500                   | 1000  | 64   | 0      |
      | R 0/0@0                                  | 14999 | 64   | 0      |
      | R 0/0@0                                  | 15000 | 0    | 0      |
      | B a 40, R 70/a40@0                       | 0     | 0    | 6      |
      | B a 40, R 64/a40@0, B b 8                | 0     | 0    | 0      |

  Scenario Outline: a refused start caps the room
    Given the allocation of a worker with 64 cores
    When it receives <events>
    Then at <now> ms it has room for <room> cores and an excess of 0 cores

    Examples: X refuses a size at a time
      | events                                        | now  | room   |
      | R 0/0@0, X 8@0                                | 0    | 7.999  |
      | R 0/0@0, X 8@0                                | 999  | 7.999  |
      | R 0/0@0, X 8@0                                | 1000 | 64     |
      | R 0/0@0, X 8@0, X 4@500                       | 999  | 3.999  |
      | R 0/0@0, X 8@0, R 0/0@900, X 8@1000           | 2999 | 7.999  |
      | R 0/0@0, X 8@0, R 0/0@900, X 8@1000           | 3000 | 64     |
      | R 0/0@0, X 8@0, X 8@900                       | 1899 | 7.999  |
      | R 0/0@0, X 8@0, X 8@900                       | 1900 | 64     |
      | R 0/0@0, X 8@0, B a 4, R 4/a4@500             | 500  | 60     |
