Feature: a small site of real processes through failures

  Scenario Outline: requests and tasks through a failure
    Given a loaded site, <links>
    When <tasks> batch tasks of 400 ms and 10 s of requests are under way
    And after 2 s it suffers: <failure>
    Then the load ends with <cut> cut and <refused> refused requests
    And no request was executed twice, and each answer was its own
    And the batch succeeds, and no task ran in two places at once
    And all the processes that are left stop gracefully

    Examples:
      | links                | tasks | cut     | refused | failure                                   |
      | direct links         | 150   | no      | no      | one entry VM stops gracefully             |
      | direct links         | 150   | no      | no      | every entry VM is replaced in turn        |
      | direct links         | 150   | some    | some    | one entry VM is killed                    |
      | direct links         | 150   | some    | some    | one entry VM is paused for 6 s            |
      | direct links         | 150   | no      | no      | the platform is down for 5 s              |
      | direct links         | 150   | no      | some    | one runner is killed                      |
      | proxied links        | 150   | no      | some    | the open links of one VM go silent        |
      | proxied links        | 150   | no      | some    | one data centre is cut off for 4 s        |

  Scenario: each of 2,000 concurrent requests gets its own answer
    Given a loaded site, direct links
    When 2000 requests are sent at the same time
    Then each of the 2000 ended as answered, or as refused and not run
    And no request was executed twice, and each answer was its own

  Scenario: a withdrawn key is refused on every entry VM
    Given a loaded site, direct links
    When the key of the requests is withdrawn
    Then every entry VM refuses it

  Scenario: a batch survives the loss of a data centre's VMs, one by one
    Given a loaded site, direct links
    When 60 batch tasks of 500 ms are submitted
    And the entry VMs of north are killed and replaced one after the other
    Then the batch succeeds, and no task ran in two places at once
