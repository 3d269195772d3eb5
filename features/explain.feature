Feature: the story of a request, from log lines alone

  Scenario Outline: explain: a request that <what>
    Given the log lines of a played day
      """
      {"vm":"a","time":100.0,"request":"r1","method":"POST","status":"503","code":"unavailable","reason":"the store refused the write: the store has been unavailable for 900 ms","ran":"no","event":"request refused"}
      {"vm":"a","time":99.1,"lease":7,"left_ms":900,"reason":"no whole answer from 10.0.0.9:7000","event":"lease not renewed"}
      {"vm":"b","time":99.2,"lease":8,"left_ms":900,"reason":"of a VM that is not in the story","event":"lease not renewed"}
      {"vm":"a","time":100.0,"request":"r2","queue":"q","account":"t","event":"job accepted"}
      {"vm":"c","time":100.01,"queue":"q","account":"t","state":"queued","request":"r2","event":"job queued"}
      {"vm":"c","time":100.1,"step":[0,0],"placed":1,"wanted":1,"waited_ms":90,"endpoints":["e1"],"request":"r2","event":"tasks placed"}
      {"vm":"b","time":102.3,"cell":"all","epoch":4,"event":"cell taken"}
      {"vm":"b","time":102.4,"queue":"q","account":"t","state":"running","request":"r2","event":"job queued"}
      {"vm":"b","time":103.0,"state":"completed","elapsed_ms":600,"request":"r2","event":"job ended"}
      {"vm":"a","time":100.0,"request":"r3","queue":"q","account":"t","event":"job accepted"}
      {"vm":"c","time":100.2,"run":1,"endpoint":"e1","reason":"failed","request":"r3","event":"run failed"}
      {"vm":"c","time":100.9,"state":"failed","elapsed_ms":900,"task":[0,0,1],"failures":2,"request":"r3","event":"job ended"}
      {"vm":"a","time":100.0,"request":"r4","queue":"q","account":"t","event":"job accepted"}
      {"vm":"c","time":100.1,"step":[0,0],"placed":1,"wanted":1,"waited_ms":90,"endpoints":["e1"],"request":"r4","event":"tasks placed"}
      {"vm":"c","time":107.9,"state":"completed","elapsed_ms":7900,"request":"r4","event":"job ended"}
      {"vm":"a","time":100.0,"request":"r5","method":"POST","status":"504","code":"outcome-unknown","reason":"no answer from the store within 2900 ms","ran":"unknown","event":"request refused"}
      {"vm":"a","time":98.9,"request":"r6","queue":"q","account":"t","event":"job accepted"}
      {"vm":"c","time":99.0,"step":[0,0],"placed":1,"wanted":1,"waited_ms":90,"endpoints":["e2"],"request":"r6","event":"tasks placed"}
      {"vm":"c","time":104.2,"endpoint":"e2","reason":"its lease has lapsed","runs":1,"event":"runs lost"}
      {"vm":"c","time":104.3,"step":[0,0],"placed":1,"wanted":1,"waited_ms":90,"endpoints":["e3"],"request":"r6","event":"tasks placed"}
      {"vm":"a","time":108.0,"request":"r7","queue":"q","account":"t","event":"job accepted"}
      {"vm":"c","time":108.1,"step":[0,0],"placed":1,"wanted":1,"waited_ms":90,"endpoints":["e4"],"request":"r7","event":"tasks placed"}
      {"vm":"c","time":111.4,"task":[0,0,0],"run":3,"endpoint":"e4","reason":"its process has ended","survived_ms":2,"crashed_after_ms":[12,11,12],"request":"r7","event":"run lost"}
      {"vm":"c","time":111.4,"endpoint":"e4","reason":"its process has ended","runs":1,"jobs":["r7"],"event":"runs lost"}
      {"vm":"c","time":111.4,"state":"failed","elapsed_ms":9400,"task":[0,0,0],"reason":"endpoints crashed under one of its tasks","crashes":3,"request":"r7","event":"job ended"}
      no decision, but text
      """
    When request <id> is explained
    Then it is told as <verdict>, decided by "<event>" of VM <vm>

    Examples:
      | what                             | id | verdict      | event           | vm   |
      | was refused as not run           | r1 | refused      | request refused | a    |
      | waited for a takeover            | r2 | completed    | cell taken      | b    |
      | failed by its own tasks          | r3 | failed       | job ended       | c    |
      | only ran for long                | r4 | completed    |                 | none |
      | is in doubt                      | r5 | in doubt     | request refused | a    |
      | lost its run with an endpoint    | r6 | not finished | runs lost       | c    |
      | was given up for its crashes     | r7 | failed       | job ended       | c    |

  Scenario Outline: explain: a long-running task waits under an owner that <what>, under none, and under the next
    Given the log lines of a played day
      """
      {"vm":"a","time":93.0,"request":"r1","queue":"q","account":"t","event":"job accepted"}
      {"vm":"d","time":93.1,"step":[0,0],"placed":1,"wanted":1,"waited_ms":90,"endpoints":["e1"],"runs":[[0,1,"e1"]],"request":"r1","event":"tasks placed"}
      {"vm":"d","time":137.0,"endpoint":"e1","reason":"its lease has expired","runs":1,"jobs":["r1"],"lost":[["r1",0,0,0,1,"e1"]],"event":"runs lost"}
      {"vm":"d","time":138.0,"task":[0,0,0],"run":1,"reason":"room","waited_ms":1000,"request":"r1","event":"task waits"}
      {"vm":"d","time":141.0,"cell":"all","epoch":4,"event":"<last_event>"}
      {"vm":"b","time":142.9,"cell":"all","epoch":5,"waited_ms":1900,"event":"cell taken"}
      {"vm":"b","time":143.0,"queue":"q","account":"t","state":"running","request":"r1","event":"job queued"}
      {"vm":"b","time":143.0,"state":"running","restored":[["r1",0,0,0,3,"e1"]],"request":"r1","event":"runs restored"}
      {"vm":"b","time":144.0,"task":[0,0,0],"run":3,"endpoint":"e1","left_ms":6400,"reason":"an inherited run","waited_ms":1000,"request":"r1","event":"task waits"}
      {"vm":"b","time":150.4,"step":[0,0],"placed":1,"wanted":1,"waited_ms":7400,"endpoints":["e2"],"runs":[[0,4,"e2"]],"request":"r1","event":"tasks placed"}
      {"vm":"b","time":150.5,"task":[0,0,0],"run":4,"endpoint":"e2","waited_ms":7500,"request":"r1","event":"task runs again"}
      {"vm":"b","time":190.0,"state":"cancelled","elapsed_ms":47000,"request":"r1","event":"job ended"}
      """
    When request r1 is explained
    Then it is told as cancelled, decided by "task waits" of VM b
    And the story has 12 lines
    And the story tells these waits
      | task  | vm | from_s | span_s | reason               |
      | 0.0.0 | d  | 137.0  | 4.0    | room                 |
      | 0.0.0 | <told_by> | 141.0 | 2.0 | an owner of the cell |
      | 0.0.0 | b  | 143.0  | 7.5    | an inherited run     |

    Examples:
      | what      | last_event | told_by |
      | leaves    | cell left  | d       |
      | is killed | watch lost | b       |

  Scenario: explain: lines that a VM repeats are told once
    Given the log lines of a played day
      """
      {"vm":"a","time":100.0,"request":"r1","queue":"q","account":"t","event":"job accepted"}
      {"vm":"a","time":100.1,"lease":7,"left_ms":900,"reason":"silent","event":"lease not renewed"}
      {"vm":"a","time":100.3,"lease":7,"left_ms":700,"reason":"silent","event":"lease not renewed"}
      {"vm":"a","time":100.5,"lease":7,"left_ms":500,"reason":"silent","event":"lease not renewed"}
      {"vm":"a","time":102.0,"state":"completed","elapsed_ms":2000,"request":"r1","event":"job ended"}
      """
    When request r1 is explained
    Then the story has 3 lines

  Scenario: explain: the command line
    Given a file of log lines with a prefix
    Then these commands end as told
      | command                         | exit | shows                                     |
      | explain r1 LINES                | 0    | decided by: request refused on a (away)   |
      | --output json explain r1 LINES  | 0    | "verdict": "refused"                      |
      | explain r9 LINES                | 9    | no line names request r9                  |

  Scenario: explain: the page on log lines names all events and fields
    Given the calls that write decision lines
    Then docs/LOGGING.md names each event and field
