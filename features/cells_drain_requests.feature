Feature: each VM knows which data centres are drained

  The owner has five seconds from the store's answer to the operator until
  the last start. Its own watch can be silent for longer than that, changes
  can be read late or twice, and the owner can change meanwhile.

  Scenario Outline: the key <key> drains <name>
    When the platform's key "<key>" is decoded
    Then it drains <name>

    Examples:
      | key                 | name     |
      | op/evacuate/north-a | north-a  |
      | op/evacuate/a/b     | a/b      |
      | op/evacuate/        | nothing  |
      | op/evacuate         | nothing  |
      | op/config           | nothing  |
      | op/wave/1           | nothing  |

  Scenario: one watch tells of the configuration and of drains
    Given the platform's keys
    Then the prefix that is watched contains the key of the configuration and "op/evacuate/north-a"

  Scenario Outline: the newest request counts, whoever tells it: <told>
    Given a VM that knows no drains
    When it is told <told>
    Then it knows <drained> as drained, after <changes> changes

    Examples:
      | told                                                    | drained      | changes |
      | drain north at 5 by the store                           | north        | 1       |
      | drain north at 5 by a VM                                | north        | 1       |
      | drain north at 5 by a VM, drain north at 5 by the store | north        | 1       |
      | drain north at 5 by the store, open north at 7 by a VM  | none         | 2       |
      | open north at 7 by a VM, drain north at 5 by the store  | none         | 0       |
      | open north at 7 by a VM, drain north at 9 by the store  | north        | 1       |
      | drain north at 5 by the store, drain south at 5 by a VM | north, south | 2       |

  Scenario Outline: a notice counts no longer than the VM's own watch needs to read so far
    Given a VM that knows no drains
    When it has read the store up to <before>
    And it is told <told>
    And it has read the store up to <after>
    Then it knows <drained> as drained, after <changes> changes

    Examples: a watch that is behind, that is ahead, and that has lost the history in between
      | before | told                                                   | after | drained | changes |
      | 3      | drain north at 5 by a VM                               | 4     | north   | 1       |
      | 7      | drain north at 5 by a VM                               | 8     | none    | 0       |
      | 3      | drain north at 5 by a VM                               | 9     | none    | 2       |
      | 3      | drain north at 5 by a VM, drain north at 5 by the store | 9     | north   | 1       |
      | 3      | drain north at 5 by the store, open north at 7 by a VM | 6     | none    | 2       |

  Scenario: a watch that lists anew tells up to which revision it has read
    Given a store whose history a watch has lost, at revision 9
    When the prefix is watched
    Then it has read up to 9

  Scenario Outline: a VM that <role> the owner's process <tells> it of a drain that it sees
    Given an entry VM that <role> the owner's process
    When the store tells it that data centre "north" is drained
    Then <count> notices went to the owner
    When another VM becomes the owner
    Then <later> notices went to the owner

    Examples:
      | role             | tells         | count | later |
      | monitors         | tells         | 1     | 2     |
      | does not monitor | does not tell | 0     | 0     |

  Scenario Outline: an owner starts nothing in a data centre that was drained <when>
    Given a store with an endpoint in "north" and one in "south"
    When "north" is drained <when> the owner has read the cell
    And 3 jobs of 2 tasks are in the store
    Then the owner starts 6 tasks, all in "south"

    Examples:
      | when   |
      | before |
      | while  |
      | after  |

  Scenario Outline: the metrics of <vm> tell of a drained data centre
    Given the metrics of <vm> while data centre "north" is drained
    Then the metrics show
      | line                                                           |
      | samphiregate_data_centre_drained{data_centre="north"} 1.0      |
    And <count> lines tell of runs left there

    Examples:
      | vm         | count |
      | the owner  | 1     |
      | another VM | 0     |
