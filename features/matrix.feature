Feature: The failure matrix
  Each kind of work meets each fault.  The verdict is by the fakes' own counts:
  nothing runs twice that must not, "not run" is true, each token comes once and
  in order from one generation, no generation stays open, and every caller gets
  an ending by its deadline.

  Scenario Outline: All kinds of work meet <first> and <second>
    Given a shared "herd" fleet for the matrix
    When all kinds of work are in progress and there is <first> and <second>
    Then every promise holds and <served> are served

    Examples: no fault
      | first | second | served |
      | no fault | no fault | all |

    Examples: single faults
      | first                     | second   | served                    |
      | a killed entry            | no fault | what can resume or repeat |
      | a killed scheduler        | no fault | all                       |
      | a killed controller       | no fault | all                       |
      | a killed engine           | no fault | services and later all    |
      | a killed service          | no fault | repeatable and later all  |
      | a reclaimed engine        | no fault | services and later all    |
      | a stalled engine          | no fault | services and later all    |
      | a failing engine          | no fault | services and later all    |
      | a refusing engine         | no fault | all                       |
      | a cut link to an engine   | no fault | all                       |
      | a paused entry            | no fault | what can resume or repeat |
      | a paused scheduler        | no fault | all                       |
      | a paused controller       | no fault | all                       |
      | a platform that is down   | no fault | all but claimed           |
      | a slow platform           | no fault | all but claimed           |
      | a platform losing answers | no fault | all                       |

    Examples: pairs of faults
      | first               | second                    | served                    |
      | a killed entry      | a platform losing answers | what can resume or repeat |
      | a killed entry      | a killed scheduler        | what can resume or repeat |
      | a killed scheduler  | a killed engine           | services                  |
      | a killed service    | a platform that is down   | all but claimed           |
      | a paused controller | a platform that is down   | all but claimed           |
      | a stalled engine    | a paused scheduler        | services                  |
