Feature: The time line
  Events of all processes are merged in the order in which one can have brought
  about another, whatever the wall clocks say.

  Scenario: Any value comes back from a log line as it was
    Then any text that an event carries is read back unchanged

  Scenario: The merge follows the clock in the messages, not the wall clocks
    Given logs of two processes, the second with its wall clock 60 s behind
    When the first sends and the second answers, 3 times
    Then the time line has send and answer in turn

  Scenario: Filters keep a request with its attempts, a node, a process, an event
    Given a log
      """
      hlc=5.0 node=a-1 role=entry domain=a event=request-received request=r-1
      hlc=5.1 node=a-1 role=entry domain=a event=attempt-sent request=r-1 attempt=g-1
      hlc=6.0 node=b-1 role=controller domain=b event=generation-cancelled generation=g-1
      hlc=6.1 node=b-1 role=controller domain=b event=generation-cancelled generation=g-2
      hlc=7.0 node=b-1 role=entry domain=b event=request-received request=r-2
      a line of another kind
      hlc=x.0 node=b-1 role=entry domain=b event=request-received
      hlc=8.0 event=request-received
      """
    Then the time line with "" has the stamps "5.0 5.1 6.0 6.1 7.0"
    And the time line with "--request r-1" has the stamps "5.0 5.1 6.0"
    And the time line with "--node b-1" has the stamps "6.0 6.1 7.0"
    And the time line with "--node b-1/entry" has the stamps "7.0"
    And the time line with "--event request-received" has the stamps "5.0 7.0"
    And the time line with "--event request-received --node a-1" has the stamps "5.0"
    And the time line with "--request nosuch" has the stamps ""

  Scenario: The picture has a lane for each process and needs nothing else
    Given a log
      """
      hlc=5.0 node=a-1 role=entry domain=a event=request-received request=r-1 workspace='<b>'
      hlc=5.1 node=a-1 role=scheduler domain=a event=request-granted request=r-1
      hlc=9.0 node=b-1 role=entry domain=b event=request-received request=r-2
      """
    When its picture is written
    Then the picture has the lanes "a-1/entry a-1/scheduler b-1/entry"
    And the picture has 3 events and 1 step from one to the next
    And the picture is well formed and names no other resource
    And "<b>" stands in it as text

  Scenario: A picture that can't be written is one line
    Given a log
      """
      """
    When its picture is written to "/nonexistent/line.html"
    Then it ends with code 1 and one line that has "/nonexistent/line.html: No such file"
