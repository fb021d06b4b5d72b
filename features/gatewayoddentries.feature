Feature: Odd entries among those of the endpoints
  Another writer leaves an entry that names no endpoint.  It costs itself alone.

  # Guards against a list that is lost, with all endpoints, over one entry in it.
  Scenario Outline: One entry has <what>
    Given a site with 3 plain endpoints and 2 gateways
    And an entry among them has <what>
    When the gateways start again
    Then both serve all requests, and use no other endpoint
    And both follow the list still

    Examples:
      | what                  |
      | 5000 nested arrays    |
      | 5000 nested objects   |
      | a number of 5000 digits |
      | 1e999 slots           |
      | port 70000            |
      | port 0                |
      | a port of 5000 digits |
      | a port in superscript |
      | a path in its address |
      | negative slots        |
      | slots of 30 digits    |
      | a start of 30 digits  |
      | a lone surrogate      |
      | text that isn't UTF-8 |
      | a control character in a text |
      | an open quote         |
      | a quote too many      |
      | an open brace         |
      | a brace too many      |
      | an open bracket       |
      | a bracket and brace too many |
      | nothing after a colon |
      | zero bytes            |
      | half of an entry within it |
      | a name that isn't UTF-8 |
      | a name with an open quote |
      | a name with one half of a character |
      | a name of 100000 characters |
      | a name that is a path |
      | a name with a line break |
      | a number as its name  |
      | a text as its revision |
      | a revision of 19 digits |
      | a list for its metadata |
      | a text in place of it |

  # Guards against a watch that is lost, with all later changes, over one entry in it.
  Scenario Outline: One entry comes to have <what> while the gateways run
    Given a site with 3 plain endpoints and 2 gateways
    When an entry among them comes to have <what>
    Then both serve all requests, and use no other endpoint
    And both follow the list still

    Examples:
      | what                    |
      | text that isn't UTF-8   |
      | a control character in a text |
      | an open quote           |
      | an open brace           |
      | a bracket and brace too many |
      | half of an entry within it |
      | a name that isn't UTF-8 |
      | a name of 100000 characters |
      | a list for its metadata |
      | a revision of 19 digits |
      | 900 nested arrays       |

  # Guards against the last sound words of an endpoint whose entry can't be read any more.
  Scenario Outline: An endpoint whose entry comes to have <what> gets no more requests
    Given a site with 3 plain endpoints and 2 gateways
    When the entry of an endpoint comes to have <what>
    Then only the other endpoints get requests

    Examples:
      | what                    |
      | text that isn't UTF-8   |
      | an open quote           |
      | a list for its metadata |

  # Guards against pages that are asked for by a name that can't be read.
  Scenario: Pages of a list end with entries whose names can't be read
    Given a site with 5 plain endpoints and lists of 3 entries
    And an entry among them has a name that isn't UTF-8
    When the gateways start again
    Then all 5 endpoints soon get requests

  # Guards against any bytes in one entry that cost others, or the whole list.
  Scenario: Random bytes in one or two entries cost these alone
    When 2000 lists and watches have random bytes in up to two of their entries
    Then all their other entries are read

