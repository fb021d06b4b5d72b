Feature: Which part of a prompt crashes engines
  The decisions of the ledger of crashes, without a network and on a clock of its own.

  # Guards against a part of a prompt that ends one engine after the other.
  Scenario: A part that was never answered is quarantined after three crashes
    Given a ledger that knows answers to "shared"
    When engines crash under "shared,bad" 3 times
    Then "shared,bad" is refused
    And "shared,other" isn't refused

  # Guards against a second copy of one crash that counts like another crash.
  Scenario: Two hosts that see the same crash count it once
    Given a ledger that knows answers to "shared"
    When two hosts report the same 2 crashes under "shared,bad"
    Then "shared,bad" isn't refused

  # Guards against a part that is blamed as a rack or a failure domain goes.
  Scenario: Endpoints that end in one moment are one event
    Given a ledger that knows answers to "shared"
    When 6 engines crash at once under "shared,popular"
    Then "shared,popular" isn't refused
    When 4 engines crash at once under "shared,popular"
    Then "shared,popular" isn't refused
    When engines crash under "shared,popular" 1 times
    Then "shared,popular" is refused

  # Guards against a request that ends endpoints so fast that it isn't blamed.
  Scenario: Attempts one after the other are evidence each, however fast they crash
    Given a ledger that knows answers to "shared"
    When 3 engines crash under "shared,fast" within 9 ms, one after the other
    Then "shared,fast" is refused

  Scenario: Prompts that had just begun beside the culprit are not blamed
    Given a ledger that knows answers to "shared"
    When engines crash under "shared,bad" 5 times, twice beside "shared,bystander"
    Then "shared,bad" is refused
    And "shared,bystander" isn't refused

  Scenario: A part that was answered before is quarantined after five crashes
    Given a ledger that knows answers to "shared"
    And it knows answers to "shared,turned"
    When engines crash under "shared,turned" 4 times
    Then "shared,turned" isn't refused
    When engines crash under "shared,turned" 1 times
    Then "shared,turned" is refused
    And "shared,other" isn't refused

  Scenario: The first part is the culprit, and the others differ
    Given a ledger that knows answers to "shared"
    When engines crash under "bad" followed by 3 different parts
    Then "bad,anything" is refused

  Scenario: An answer that began after the crashes clears a part
    Given a ledger that knows answers to "shared"
    When engines crash under "shared,odd" 2 times
    And an answer to "shared,odd" that began after them is written
    And engines crash under "shared,odd" 2 times
    Then "shared,odd" isn't refused

  Scenario: An answer that began before the crashes proves nothing
    Given a ledger that knows answers to "shared"
    When an answer to "shared,bad" begins
    And engines crash under "shared,bad" 5 times
    And that answer is written
    Then "shared,bad" is refused

  Scenario: An answer in spite of a quarantine ends it
    Given a ledger that knows answers to "shared"
    When engines crash under "shared,odd" 3 times
    And an answer to "shared,odd" that began after them is written
    Then "shared,odd" isn't refused

  # Guards against a part that is refused for ever.
  Scenario: A quarantine ends, and one more crash brings a longer one
    Given a ledger that knows answers to "shared"
    When engines crash under "shared,bad" 3 times
    And the ledger is 301 seconds older
    Then "shared,bad" isn't refused
    When engines crash under "shared,bad" 1 times
    Then "shared,bad" is refused for 600 seconds
    When the ledger is 601 seconds older
    And an answer to "shared,bad" that began after them is written
    And engines crash under "shared,bad" 1 times
    Then "shared,bad" isn't refused

  # Guards against memory that grows with the prompts.
  Scenario: Memory is bounded, and what is remembered ends
    Given a ledger that knows answers to "shared"
    When engines crash under 5000 different prompts, and 10000 others are answered
    Then the ledger holds at most 512 parts and 2048 answered ones
    When the ledger is 20000 seconds older
    Then the ledger holds at most 0 parts and 2048 answered ones

  Scenario: The newest quarantines are kept when too many parts crash engines
    Given a ledger that knows answers to "shared"
    When engines crash under "shared,bad" 3 times
    And engines crash under 600 different prompts, and 0 others are answered
    Then "shared,bad" is refused
