Feature: every fault at every step, in virtual time

  Scenario Outline: all steps hold under <fault>
    Given the cells of the fault <fault> at every step
    When the cells are played
    Then no cell is red

    Examples:
      | fault         |
      | crash         |
      | pause         |
      | store down    |
      | store slow    |
      | answer lost   |
      | change late   |
      | read stale    |
      | message lost  |
      | duplicated    |
      | reordered     |
      | late          |
      | list stale    |
      | centres cut   |
      | vm cut        |
      | one way       |
      | platform cut  |
      | vm isolated   |
      | clock drift   |
      | racing edits  |
      | worker link   |
