Feature: clients outside of the limits end, starve and block no process

  Scenario Outline: a VM bears clients outside of the limits
    Given a VM with <memory> MB and <descriptors> descriptors
    When <count> clients send <what> to its <port> port
    Then an ordinary request is answered
    When the clients have left
    Then an ordinary request is answered
    And the VM is ready and kept to its memory and descriptors

    Examples:
      | count | what                                         | port    | memory | descriptors |
      | 20    | heads of 95 long lines, never ended          | front   | 120    | 200         |
      | 150   | bodies of 1 MB but one byte                  | front   | 120    | 200         |
      | 150   | chunked bodies of 1 MB, never ended          | front   | 120    | 200         |
      | 8     | chunks of one byte without end               | front   | 120    | 200         |
      | 8     | trailers without end                         | front   | 120    | 200         |
      | 8     | a chunk extension without end                | front   | 120    | 200         |
      | 10    | methods of their own                         | front   | 90     | 200         |
      | 300   | nothing                                      | front   | 120    | 200         |
      | 300   | heads a byte at a time                       | front   | 120    | 200         |
      | 300   | bodies a byte at a time                      | front   | 120    | 200         |
      | 8     | empty lines without end                      | front   | 120    | 200         |
      | 8     | empty lines without end, two bytes at a time | front   | 120    | 200         |
      | 8     | a request, then empty lines without end      | front   | 120    | 200         |
      | 8     | half a head, then empty lines without end    | front   | 120    | 200         |
      | 8     | a line without end                           | front   | 120    | 200         |
      | 8     | a request line without end                   | front   | 120    | 200         |
      | 8     | requests whose answers they don't read       | front   | 120    | 200         |
      | 20    | heads of 95 long lines, never ended          | ready   | 120    | 200         |
      | 8     | trailers without end                         | ready   | 120    | 200         |
      | 300   | nothing                                      | ready   | 120    | 200         |
      | 20    | heads of 95 long lines, never ended          | peers   | 120    | 200         |
      | 8     | chunks of one byte without end               | peers   | 120    | 200         |
      | 300   | nothing                                      | peers   | 120    | 200         |
      | 8     | trailers without end                         | metrics | 120    | 200         |
      | 300   | nothing                                      | metrics | 120    | 200         |

  Scenario Outline: a VM ends by itself amid clients outside of the limits
    Given a VM with 120 MB and 200 descriptors
    When <count> clients send <what> to its front port
    And the VM gets SIGTERM
    Then the VM ends by itself

    Examples:
      | count | what                                   |
      | 20    | heads of 95 long lines, never ended    |
      | 150   | bodies of 1 MB but one byte            |
      | 8     | chunks of one byte without end         |
      | 8     | trailers without end                   |
      | 8     | requests whose answers they don't read |
      | 100   | bodies a byte at a time                |

  Scenario Outline: jobs of the largest sound size fit into the memory of a VM
    Given a VM with <memory> MB and 200 descriptors
    When <count> clients each submit the largest sound job
    Then each of their jobs is accepted or refused as not run
    And the owner holds those that were accepted
    And an ordinary request is answered
    And the VM is ready and kept to its memory and descriptors

    Examples: sent at once
      | count | memory |
      | 1     | 160    |
      | 10    | 160    |
