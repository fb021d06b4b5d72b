Feature: The order of what the store says
  No network: versions, mirrors and configurations are asked one by one, on a clock of
  their own.

  Scenario: The era goes before the revision
    Then version 2.7 is newer than version 1.900
    And version 1.8 is newer than version 1.7
    And versions get through a message between gateways unchanged

  # Guards against changes that an answer of an earlier era brings late.
  Scenario: A late answer of an earlier era changes and confirms nothing
    Given a mirror that listed "a" at version 1.10
    When an update with all objects, "b", of version 2.4 comes
    And an update of "c" from version 1.10 to version 1.12 comes
    Then the mirror holds "b" at version 2.4

  # Guards against an update of the new era on top of objects of the last one.
  Scenario: An update of a new era isn't added to the objects of the last one
    Given a mirror that listed "a" at version 1.10
    When an update of "c" from version 2.9 to version 2.11 comes
    Then the mirror needs a list

  # Guards against a list whose pages are of two eras.
  Scenario: A list during which the store returns from a copy is read anew
    Given a site with 5 plain endpoints and lists of 2 entries
    When the store returns from a copy between two pages of a list
    Then a list of the new era is soon read from its first page
    And all 5 endpoints soon get requests

  Scenario: A write whose condition is of an earlier era isn't sent
    Given a client of a store that returned from a copy
    When it replaces an object that it read before the return
    Then the write fails as a conflict, and the object is as it was

  Scenario: The configuration in force stays while the store holds an older one
    Given a configuration 7 in force, read at version 1.20
    When the store holds configuration 5 at version 2.12
    Then configuration 7 is in force
    When 299 seconds go by
    Then configuration 7 is in force
    When the store holds configuration 7 at version 2.13
    And 900 seconds go by
    Then configuration 7 is in force

  # Guards against what never comes back and is believed for ever.
  Scenario: The store's configuration takes effect in the end
    Given a configuration 7 in force, read at version 1.20
    When the store holds configuration 5 at version 2.12
    And 301 seconds go by
    Then configuration 5 is in force

  Scenario: Another gateway's newer configuration is believed no longer than there
    Given a configuration 5 in force, read at version 2.12
    When another gateway has configuration 7 of version 1.20, and the store is behind for 290 seconds
    Then configuration 7 is in force
    When 11 seconds go by
    Then configuration 5 is in force

  Scenario: In one era an older configuration never takes effect
    Given a configuration 7 in force, read at version 1.20
    When the store holds configuration 5 at version 1.22
    And 900 seconds go by
    Then configuration 7 is in force

  Scenario: Departures are bounded and end
    Given 1000 endpoints that left in era 1
    Then 256 of them are remembered
    And the newest one left before era 2, and not before era 1
    When 121 seconds go by
    Then the newest one may be used in era 2
