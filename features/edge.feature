Feature: the callers' HTTP API answers everything, truthfully and in bounds

  Scenario: edge: each of many callers gets the answer to its own request
    Given edge: an entry VM with 3 runners of 8 slots
    When edge: 2000 distinct requests are sent over 200 connections
    Then edge: each caller got the whole answer to its own body
    And edge: no runner executed more than 8 at a time
    And edge: each request was executed once

  Scenario: edge: answers out of order reach their own callers
    Given edge: an entry VM with 3 runners of 8 slots
    When edge: 200 requests with work times from 0 to 40 ms are sent at once
    Then edge: each caller got the whole answer to its own body

  Scenario Outline: edge: bad input on the wire
    Given edge: an entry VM with 1 runners of 2 slots
    When edge: on the wire comes <input>
    Then edge: the answer has status <status> and code <code>
    And edge: no request was executed
    And edge: the entry VM still answers

    Examples:
      | input                        | status | code           |
      | a request line of rubbish    | 400    | bad-input      |
      | a request line without end   | 414    | bad-input      |
      | an unknown HTTP version      | 400    | bad-input      |
      | 200 headers                  | 431    | bad-input      |
      | a header of 60000 bytes      | 431    | bad-input      |
      | headers of 40000 bytes       | 431    | bad-input      |
      | a negative length            | 400    | bad-input      |
      | a length that is no number   | 400    | bad-input      |
      | a length with a sign         | 400    | bad-input      |
      | a body cut short             | 400    | bad-input      |
      | a body longer than allowed   | 413    | body-too-large |
      | a length beyond the bound    | 413    | body-too-large |
      | chunks longer than allowed   | 413    | body-too-large |
      | chunks that are not valid    | 400    | bad-input      |
      | chunks cut short             | 400    | bad-input      |
      | a body that stops coming     | 408    | timeout        |
      | an unknown path              | 404    | not-found      |
      | a method that has no meaning | 404    | not-found      |
      | an unknown queue             | 404    | not-found      |
      | a key of the wrong kind      | 401    | key-refused    |
      | a wrong key                  | 401    | key-refused    |
      | a wrong key and a long body  | 401    | key-refused    |
      | no key                       | 401    | key-refused    |
      | a deadline that is negative  | 400    | bad-input      |
      | a deadline that is NaN       | 400    | bad-input      |
      | a deadline of 10 digits      | 400    | bad-input      |
      | a type with control codes    | 400    | bad-input      |
      | idempotent maybe             | 400    | bad-input      |

  Scenario Outline: edge: job documents are validated
    Given edge: an entry VM with 1 runners of 2 slots
    When edge: a job is submitted as <document>
    Then edge: the answer has status <status> and code <code>
    And edge: its detail names <name>

    Examples:
      | document                                                      | status | code      | name        |
      | {"class": "batch", "resources": {"cpu_millis": 100}}          | 201    | none      | nothing     |
      | {"class": "batch", "resources": {"cpu_millis": NaN}}          | 400    | bad-input | JSON        |
      | {"class": "batch", "resources": {"cpu_millis": -1}}           | 400    | bad-input | cpu_millis  |
      | {"class": "batch", "resources": {"cpu_millis": 1.5}}          | 400    | bad-input | cpu_millis  |
      | {"class": "batch", "resources": {"cpu_millis": "5"}}          | 400    | bad-input | cpu_millis  |
      | {"class": "batch", "resources": {"cpu_millis": true}}         | 400    | bad-input | cpu_millis  |
      | {"class": "batch", "resources": {"cpu_millis": 1e999}}        | 400    | bad-input | JSON        |
      | {"class": "batch", "resources": {"gpus": 1}}                  | 400    | bad-input | gpus        |
      | {"class": "batch", "resources": {}}                           | 400    | bad-input | resources   |
      | {"class": "batch"}                                            | 400    | bad-input | resources   |
      | {"class": "request", "resources": {"cpu_millis": 1}}          | 400    | bad-input | work_class  |
      | {"class": "gang", "resources": {"cpu_millis": 1}, "task_count": 0} | 400 | bad-input | task_count |
      | {"class": "gang", "resources": {"cpu_millis": 1}, "task_count": 99999999999999999999} | 400 | bad-input | task_count |
      | {"class": "gang", "resources": {"cpu_millis": 1}, "command": null} | 400 | bad-input | command    |
      | {"class": "gang", "resources": [1]}                           | 400    | bad-input | resources   |
      | []                                                            | 400    | bad-input | object      |
      | nothing                                                       | 400    | bad-input | JSON        |
      | rubbish                                                       | 400    | bad-input | JSON        |
      | 1500 nested lists                                                | 400    | bad-input | JSON        |

  Scenario: edge: a withdrawn key is refused on an open connection
    Given edge: an entry VM with 1 runners of 2 slots
    When edge: a caller sends a request and keeps its connection
    And edge: its key is withdrawn
    And edge: the caller sends again over the same connection
    Then edge: the answer has status 401 and code key-refused

  Scenario: edge: a withdrawn key gets no answer of a job call that waits
    Given edge: an entry VM with 1 runners of 2 slots
    When edge: a caller waits for a job while its key is withdrawn
    Then edge: the answer has status 401 and code key-refused

  Scenario: edge: connections beyond the bound close the longest idle one
    Given edge: an entry VM that takes 5 connections
    When edge: 5 callers stay idle on open connections
    Then edge: the entry VM still answers
    And edge: only the longest idle connection was closed

  Scenario: edge: requests that are read at a time are bounded
    Given edge: an entry VM that reads 7000 bytes of requests at a time
    When edge: 3 callers each send 2000 bytes of a body but the last
    And edge: a caller sends a body of 1000 bytes
    Then edge: the answer has status 200 and code none
    And edge: the callers that sent first 1 are answered with status 503
    And edge: at most 7000 bytes were read at a time
    When edge: the other callers send the last byte
    Then edge: the callers that sent first 3 are answered with status 503, 200, 200
    And edge: no byte is counted as being read

  Scenario: edge: a caller that is gone frees its place in the queue
    Given edge: an entry VM with 1 runners of 1 slots
    And edge: every runner hangs
    When edge: 3 callers send requests and go away
    Then edge: nothing is queued
    And edge: one request was executed

  Scenario: edge: a graceful stop cuts no request
    Given edge: an entry VM with 2 runners of 8 slots
    When edge: 100 requests are under way and the entry VM drains
    Then edge: each caller got the whole answer to its own body
    And edge: the entry VM was not ready while draining
    And edge: no connection is left

  Scenario: edge: a certificate is read again without a restart
    Given edge: an entry VM with TLS
    Then edge: callers see the first certificate
    When edge: the files are replaced by the second certificate
    Then edge: callers see the second certificate
    When edge: the files are replaced by rubbish
    Then edge: callers see the second certificate
    And edge: the fault of the files is told
    When edge: the files are replaced by a key that does not match
    Then edge: callers see the second certificate
    And edge: the fault of the files is told
    And edge: a caller without TLS is refused and harms nobody

  Scenario: edge: histograms and status are shown to those they concern
    Given edge: an entry VM with 1 runners of 2 slots
    When edge: teams huts and maps each send a request
    Then edge: histograms with the key of huts show huts only
    And edge: histograms from an operator's network show huts and maps
    And edge: from elsewhere no status and no histograms are shown

  Scenario: edge: the API document and the code agree
    Given edge: an entry VM with 1 runners of 2 slots
    Then edge: the API document names every code and no other
    And edge: every call of the API document is answered
    And edge: every bound of a job in the API document is kept
