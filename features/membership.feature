Feature: Membership
  Hosts find each other without the platform, see deaths and returns, and don't
  take each other for dead without cause.

  Scenario: Members that know one address find each other and agree
    Given 12 members in 3 failure domains
    Then all members agree within 10 s
    And nobody was taken for suspect or dead

  Scenario: A killed member is suspected, declared dead, and comes back
    Given 12 members in 3 failure domains
    When all members agree within 10 s
    And member 5 is killed
    Then all others see member 5 as "dead" within 10 s
    When member 5 is replaced at the same address
    Then all members agree within 10 s
    And nobody but member 5 was taken for suspect or dead

  Scenario: A leaving member is seen as leaving by all
    Given 12 members in 3 failure domains
    When all members agree within 10 s
    And member 4 leaves
    Then all others see member 4 as "leaving" within 3 s

  Scenario: Loss in one direction between two members kills neither
    Given 12 members in 3 failure domains
    When all members agree within 10 s
    And datagrams from member 2 to member 3 are lost for 3 s
    Then nobody was taken for suspect or dead

  Scenario: A failure domain is cut off and joined again
    Given 15 members in 5 failure domains
    When all members agree within 10 s
    And failure domain 1 is cut off until both sides take each other for dead
    And the cut is healed
    Then all members agree within 20 s

  Scenario: A third of the members restarts at once
    Given 18 members in 3 failure domains
    When all members agree within 10 s
    And members 0 to 5 are replaced at once
    Then all members agree within 20 s
    And nobody but members 0 to 5 was taken for suspect or dead

  Scenario: Bytes for each member do not grow with the number of members
    When the bytes each of 10 and of 40 members sends are measured
    Then the larger fleet sends at most 1.2 times as much for each member

  Scenario: What was said of a forgotten member does not bring it back
    Given a table that has forgotten the dead member "gone" of incarnation 7
    Then word that "gone" is alive in incarnation 7 is refused
    And word that "gone" is alive in incarnation 8 is taken

  Scenario: A changed datagram is dropped
    Given a sealed datagram
    Then it opens as it is, and not with any one byte changed

  Scenario: Entries and schedulers are told only what changed
    Given a host that told 350 members to its subscribers
    Then nothing is pushed while nothing changes
    And the death of one member is pushed as 1 record
    And the view built from the pushes equals the host's own

  Scenario: A paused controller is suspected, wakes, and takes nobody for dead
    Given a fleet of 3 hosts with heartbeats 0.4 times the defaults
    When the controller of host 1 is paused until the others take it for dead
    And it is woken after 8 s in all
    Then every host sees all hosts alive
    And the woken controller objected
    And no host but 1 was ever taken for suspect or dead
