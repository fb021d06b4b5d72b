Feature: Callers that read slowly, and endpoints that do
  What waits for them is bounded, and a caller that doesn't read is disconnected.

  # Guards against bodies that fill a gateway's memory for as long as callers like.
  # Load: one caller that never reads 12 MiB.
  Scenario: A caller never reads a large plain response
    Given a site with 32 MiB of body memory, an unread timeout of 2 seconds and 1 plain endpoints
    And plain responses have 12 MiB
    When 1 callers request plain responses and read nothing
    Then body memory holds over 11 MiB within 1 seconds
    And 1 callers are disconnected with 1613 after 1.5 to 3.5 seconds, by a reset
    And body memory holds nothing

  # Guards against memory that stays counted while its caller takes the response.
  # Load: one caller that reads 12 MiB with a pause.
  Scenario: A caller reads a large plain response after a pause
    Given a site with 32 MiB of body memory, an unread timeout of 3 seconds and 1 plain endpoints
    And plain responses have 12 MiB
    When 1 callers request plain responses and read nothing
    Then body memory holds over 11 MiB within 1 seconds
    When 1.5 seconds pass in real time
    And the callers read 6 MiB each
    Then body memory holds less than 7 MiB
    When the callers read everything
    Then each caller has the whole plain response
    And body memory holds nothing

  # Guards against requests that are refused while others don't read what they asked for.
  # Load: a caller that reads nothing, and another one that needs the memory, of which a
  # workspace may hold half.
  Scenario: Body memory is short while a caller reads nothing
    Given a site with 8 MiB of body memory, an unread timeout of 20 seconds and 1 plain endpoints
    And plain responses have 3 MiB
    When 1 callers request plain responses and read nothing
    Then body memory holds over 2.8 MiB within 1 seconds
    When another caller of the workspace requests a plain response
    Then that caller gets the whole response
    And 1 callers are disconnected with 1613 after 1 to 3.5 seconds, by a reset
    And body memory holds nothing

  # Guards against engines that aren't read, and abort, while a caller stalls for a while.
  # Load: one stream of 9 MB, of which the kernel takes some, and a caller that reads
  # nothing for 3 seconds.
  Scenario: A caller stalls in a stream for less than the buffer
    Given a site with a buffer of 12000000 bytes for each caller and an engine of 9000 events of 1000 bytes
    When 1 callers stream /draft/x and read nothing
    Then the engine has sent everything within 4 seconds
    When 3 seconds pass in real time
    And the callers read everything
    Then each caller has events 1 to 9000 and the end
    And body memory holds nothing

  # Guards against generations that run for callers which don't read.
  # Load: one stream of 6 MB, and a caller that reads nothing.
  Scenario: A caller stalls in a stream for longer than the buffer
    Given a site with a buffer of 262144 bytes for each caller and an engine of 6000 events of 1000 bytes
    When 1 callers stream /check/x and read nothing
    Then 1 callers are disconnected with 1614 after 1.5 to 3 seconds, by a reset
    And the engine's generations were cancelled and no reservation is held
    And body memory holds nothing
    When the caller resumes the stream
    Then it gets the events from there to 6000 and the end

  # Guards against slow callers that are taken for stalled ones, and against events that
  # come in another order or twice.
  # Load: callers that take 30 to 40 kB a second of a stream that comes much faster.
  Scenario: Callers read a stream slowly but steadily
    Given a site with a buffer of 65536 bytes for each caller and an engine of 300 events of 1000 bytes
    When 2 callers stream /draft/x and read nothing
    And the callers read 8000 bytes every 0.2 seconds to the end
    Then each caller has events 1 to 300 and the end
    And body memory holds nothing

  # Guards against streams that go on after their deadline because their caller is slow.
  Scenario: The deadline passes while a caller reads a stream slowly
    Given a site with a buffer of 65536 bytes for each caller and an engine of 900 events of 1000 bytes
    When 1 callers stream /draft/x with 3 seconds
    And the callers read 4000 bytes every 0.2 seconds until they are disconnected
    Then 1 callers are disconnected with 1302 after 2.9 to 20 seconds, by a reset
    And the engine's generations were cancelled and no reservation is held
    And body memory holds nothing

  # Guards against one customer's stalled callers that cost others their service.
  # Load: 12 stalled streams, 12 unread responses of 1 MiB, and a caller that reads.
  Scenario: Many callers stall at once while another one reads
    Given a site with 8 MiB of body memory, an unread timeout of 4 seconds, 2 plain endpoints and 4 engines of 2000 events of 1000 bytes
    And plain responses have 1 MiB
    When 12 callers stream /draft/x and read nothing
    And 12 callers request plain responses and read nothing
    Then for 4 seconds a caller of another workspace gets whole responses and streams
    And body memory never held more than 8 MiB
    And all callers that read nothing are disconnected within 8 seconds
    And body memory holds nothing

  # Guards against endpoints that crash by the bodies that they hold.
  # Load: 8 bodies of 3 MiB at once, to endpoints that read them slowly.
  Scenario: Endpoints read request bodies slowly
    Given a site with 2 endpoints that read request bodies slowly
    When 8 callers post 3 MiB each with 8 seconds
    Then all of them are served
    And no endpoint held more than 8 MiB of bodies

  # Guards against requests that wait without end for room, or are refused as run.
  Scenario: No endpoint gets room in time
    Given a site with 1 endpoints that read request bodies slowly
    When 8 callers post 3 MiB each with 1.6 seconds
    Then some are served and the others refused as not run, with a retry time
    And no endpoint held more than 8 MiB of bodies

  # Guards against a body that never fits.
  Scenario: A body is larger than what may be in flight
    Given a site with 1 endpoints that read request bodies slowly
    When 2 callers post 10 MiB each with 8 seconds
    Then all of them are served
    And no endpoint held more than 10 MiB of bodies

  # Guards against engines that hold more bodies than others do.
  Scenario: Streams with large bodies go to an engine that has room
    Given a site with 2 engines that read request bodies slowly
    When 4 callers stream with 3 MiB each
    Then all of them are served
    And no endpoint held more than 8 MiB of bodies

  # Guards against streams that are refused as if they had run.
  Scenario: No engine has room for a stream's body
    Given a site with 1 engines that read request bodies slowly
    When 4 callers stream with 3 MiB each
    Then some are served and the others refused as not run, with a retry time
    And no endpoint held more than 8 MiB of bodies

  # Guards against callers that are disconnected because the gateway was paused.
  # Load: one caller, and a pause longer than its timeout.
  Scenario: A gateway is paused while a caller waits
    Given a site whose gateway is a process with an unread timeout of 3 seconds
    And plain responses have 12 MiB
    When 1 callers request plain responses and read nothing
    And 1.5 seconds pass in real time
    And the gateway's process is paused for 5 seconds
    And 1.5 seconds pass in real time
    And the callers read everything
    Then each caller has the whole plain response
