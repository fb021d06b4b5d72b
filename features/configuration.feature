Feature: Configuration
  An accepted configuration comes into force everywhere and never goes back.

  Scenario: A replaced host takes its peers' revision while the platform is down
    Given a shared "herd" fleet of 3 hosts, 2 engines and 2 workers
    When workspace "buyers" is given priority 7 and applied
    And the platform goes down
    And all processes of host 2 are replaced
    Then entry 2 has the newest revision in force
    And no process of host 2 ever had an older one in force since
    When the platform comes back
    Then workspace "buyers" can be given priority 8 and applied within 6 s

  Scenario: A replaced host that reads an old manifest serves what its peers serve
    Given a shared "herd" fleet of 3 hosts, 2 engines and 2 workers
    When the platform's reads are frozen as they are now
    And workspace "buyers" is given priority 9 and its peers have it
    And all processes of host 1 are replaced
    Then entry 1 has the newest revision in force
    And no process of host 1 ever had an older one in force since
    When the platform's reads are fresh again

  Scenario: A host cut off from platform and peers says so and goes on serving
    Given a shared "herd" fleet of 3 hosts, 2 engines and 2 workers
    When the platform goes down
    And the controllers of all hosts but 0 are paused
    Then entry 0 says in status and readiness that it is cut off
    When "buyers" streams "cut-off" of 4 tokens at entry 0
    Then each of the 4 tokens of "cut-off" came once and in order
    When the controllers of all hosts but 0 are woken
    And the platform comes back
    Then entry 0 says that it isn't cut off

  Scenario Outline: A publisher's lost answers raise the revision once
    Given a platform of its own that loses <share> of the answers to writes
    When a document of 30 workspaces is published on what is there
    Then the platform holds revision 1 with all its parts

    Examples:
      | share |
      | 0.3   |
      | 0.6   |

  Scenario: Of two operators one wins and the other is shown the difference
    Given a platform of its own that loses 0 of the answers to writes
    When a document of 30 workspaces is published on what is there
    And two operators change the priority of "space-3" on top of it at once
    Then one of them is told of a conflict that names "space-3" and both priorities

  Scenario: A manifest comes into force when its parts can be read
    Given a platform of its own that loses 0 of the answers to writes
    And a host that follows it
    When a manifest is written before its parts
    Then the host has revision 0 in force
    When the parts are written
    Then the host gets revision 1 in force

  Scenario: A watch that is told "too old" reads anew, and an older read changes nothing
    Given a platform of its own that loses 0 of the answers to writes
    And a host that follows it
    When a document of 30 workspaces is published on what is there
    Then the host gets revision 1 in force
    When the platform forgets its history
    And a document of 31 workspaces is published on what is there
    Then the host gets revision 2 in force
    When a document of 32 workspaces is published on what is there
    Then the host gets revision 3 in force
    And the platform has answered a watch "too old"
    When the host reads the manifest of revision 1 again
    Then the host has revision 3 in force

  Scenario: Parts that no manifest names are deleted, but not those written anew
    Given a platform of its own that loses 0 of the answers to writes
    And a host that follows it
    When documents with 5 priorities of one workspace are published in turn
    And the host sweeps, waits for as long as parts are kept, and sweeps again
    Then only the parts that the manifest names are left
    When documents with 5 priorities of one workspace are published in turn
    And the host sweeps, all parts are written anew, and it sweeps again
    Then no part was deleted by the last sweep

  Scenario: A change of one of 2,100 workspaces moves and rereads one part
    Given a document of 2100 workspaces in force
    When one workspace changes
    Then the update carries 1 part and 1 part is reread
    And every value on the platform is smaller than 100000 bytes
