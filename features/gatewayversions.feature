Feature: Streams at engines of several software versions
  What two versions write doesn't fit together, and engines don't check it.  A stream
  goes on only at the version that began it, inside its response and where its caller
  takes it up again.

  # Guards against a stream that is rerun or moved to an engine of another version.
  Scenario Outline: Streams whose engines <end> go on at engines of their version
    Given engines of versions "v1,v1,v2,v2" and 2 gateways
    When 12 streams have begun, and the first engine of each version <ends>
    Then no stream holds events of two versions
    And all streams are complete

    Examples:
      | end   | ends    |
      | leave | leaves  |
      | crash | crashes |

  # Guards against a stream that goes on elsewhere though its version has no engine left.
  Scenario Outline: Streams of a version whose last engine <ends> break off at once
    Given engines of versions "v1,v2,v2" and 2 gateways
    When 12 streams have begun, and the first engine of v1 <ends>
    Then no stream holds events of two versions
    And all streams of v2 are complete

    Examples:
      | ends    |
      | leaves  |
      | crashes |

  # Guards against an entry that is older than the process which its engine runs now.
  Scenario Outline: An engine starts again under its name, and its entry is late: <how>
    Given engines of versions "v1,v1" and 3 gateways
    And the entry of the last engine says when it started
    When 6 streams have begun, none at the last engine
    And the last engine starts again with v2, and its entry isn't changed
    And <how>
    Then no stream holds events of two engines
    And the last engine has run nothing of theirs

    Examples:
      | how                                     |
      | the first engine crashes                |
      | all gateways die and callers take it up |

  # Guards against a stream that ends because the first engine chosen doesn't take it.
  Scenario: One of two engines left has started again, and its entry is late
    Given engines of versions "v1,v1,v1" and 3 gateways
    And the entry of the last engine says when it started
    When 12 streams have begun, none at the last engine
    And the last engine starts again with v2, and its entry isn't changed
    And the first engine crashes
    Then the last engine has run nothing of theirs
    And all streams are complete

  # Guards against two engines that count as equal because neither names a version.
  Scenario: Engines that name no version are of one version with none
    Given engines of versions "-,-,-,-" and 2 gateways
    When 12 streams have begun, and all but the last engine crash
    Then no stream holds events of two engines

  # Guards against a take-up that is handled like a new stream.
  Scenario Outline: Streams that are taken up after <which> died go on at their version
    Given engines of versions "v1,v1,v2,v2" and 3 gateways
    When 12 streams have run for 1.5 seconds, and <which> are killed
    And their callers take them up
    Then no stream holds events of two versions
    And at least 10 streams go on

    Examples:
      | which            |
      | two gateways     |
      | all the gateways |

  # Guards against a refusal of take-ups where only one version can have begun them.
  Scenario: Streams of a service with one version are all taken up
    Given engines of versions "v1,v1" and 3 gateways
    When 12 streams have run for 1 seconds, and all the gateways are killed
    And their callers take them up
    Then all streams are complete

  # Guards against take-ups that get the version which has replaced that of the stream.
  Scenario: A version leaves while all gateways are down
    Given engines of versions "v1,v1" and 3 gateways
    When 12 streams have run for 1.5 seconds, and all the gateways are killed
    And an engine of v2 replaces each engine of v1
    And their callers take them up
    Then no stream holds events of two versions
    And all take-ups were refused as not run, within 1 seconds

  # Guards against a gateway that needs the store to know what the others know.
  Scenario: Streams are taken up while the store is down
    Given engines of versions "v1,v1,v2,v2" and 3 gateways
    When 12 streams have run for 0.5 seconds
    And the store is down, and two gateways are cut off from their callers
    And their callers take them up
    Then no stream holds events of two versions
    And at least 10 streams go on

  # Guards against a take-up that attaches to what the caller can't show to be its own.
  Scenario Outline: A take-up that names <attempt> isn't joined to any version
    Given engines of versions "v1,v1,v2,v2" and 3 gateways
    When 4 streams have run for 1 seconds, and all the gateways are killed
    And their callers take them up naming <attempt>
    Then no stream holds events of two versions
    And all take-ups were refused as not run, within 1 seconds

    Examples:
      | attempt            |
      | no attempt         |
      | an unknown attempt |
      | another's attempt  |

  # Guards against a rerun from the beginning for a caller who has had the first events.
  Scenario: An engine breaks off a taken-up stream before its next event
    Given engines of versions "v1,v1" and 3 gateways
    When 6 streams have run for 1 seconds, and all the gateways are killed
    And the first engine breaks off whatever it is sent
    And their callers take them up
    Then every run since then began where its caller was

  # Guards against a gateway that doesn't know of a version and joins its streams to others.
  Scenario Outline: A gateway that <how> while a version joins takes up none of its streams
    Given engines of versions "v1,v1" and 3 gateways
    And the record of versions is written, and can't be written any more
    When the last gateway <how> while an engine of v2 joins and begins streams of the others
    And their callers take them up
    Then no stream holds events of two versions
    And at least 3 streams of v2 were taken up

    Examples:
      | how                        |
      | is cut off from the others |
      | stands still               |

  # Guards against a refusal of all take-ups wherever the records can't tell.
  Scenario: A take-up of the only version is served though the gateway doesn't know it
    Given engines of versions "v1,v1" and 3 gateways
    And the record of versions is written, and can't be written any more
    When the last gateway is cut off from the others while streams begin there
    And their callers take them up
    Then all streams are complete

  # Guards against streams of a process that the entry of its engine doesn't describe yet.
  Scenario Outline: An engine starts again with v2 while the store is down, and <then>
    Given engines of versions "v1,v1,v1" and 3 gateways
    And the entry of the last engine says when it started
    When the store is down, and the last engine starts again with v2
    And 12 streams begin, and <then>
    Then no stream holds events of two versions
    And at least 3 streams began at v2

    Examples:
      | then                                          |
      | the store comes back with its new entry       |
      | its callers take them up at the first gateway |

  # Guards against a refusal to continue streams of an engine that runs what it ran before.
  Scenario: An engine whose entry lapses and returns goes on with its streams
    Given engines of versions "v1,v1,v1" and 3 gateways
    And the entry of the last engine says when it started
    When 12 streams have begun, and the last engine's entry goes and returns
    Then all streams are complete

