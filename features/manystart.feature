Feature: Many gateways start at a store of many pages
  All gateways of a failure domain start at once, or need a list at once.  The client,
  the mirrors and the exchange between gateways are real, the network is left out.

  # Guards against starvation: a page that the store refused, since it takes a number of
  # reads a second, threw away all pages before it, and no gateway got a whole list.
  Scenario: The store refuses reads while all gateways list 40 pages
    Given 20 gateways, 2000 endpoints and a store that takes 250 reads a second
    When all gateways start while 20 entries a second change
    Then all have listed the store within 15 seconds
    And each has asked for 100 pages at most on average
    And all soon know the entries as the store has them

  # Guards against lists without end: each was older than an update that had come
  # while it was read, so it was dropped and read again at once.
  Scenario: Gateways list anew while entries change faster than a list is read
    Given 10 gateways, 1000 endpoints and a store that takes 6000 reads a second
    And all gateways know the store, which now answers after 20 ms
    When all but the watcher need a list while 100 entries a second change for 3 seconds
    Then each has asked for 40 pages at most on average
    And all soon know the entries as the store has them

  # Guards against lists by all gateways when a failure domain is lost: the changes were
  # too large for one message.
  Scenario: A third of 3000 endpoints changes at one moment
    Given 10 gateways, 3000 endpoints and a store that takes 6000 reads a second
    And all gateways know the store, which now answers after 4 ms
    When 1000 entries change at one moment
    Then all soon know the entries as the store has them
    And no gateway but the watcher has called the store

  # Guards against a watcher that encodes all objects for each question of a gateway
  # that has just started, which took 25 ms of 3,000 endpoints.
  Scenario: Gateways that know nothing yet ask their watcher
    Given 10 gateways, 3000 endpoints and a store that takes 6000 reads a second
    And all gateways know the store, which now answers after 4 ms
    When gateways that know nothing ask the watcher 60 times
    Then it has encoded 3000 objects at most
