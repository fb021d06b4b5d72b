Feature: Old and new builds exchange messages
  The old build is that of the commit e17821c: its schema and messages written by it are
  kept.  Messages have all fields set, so that none is read as its default by chance.

  # Guards against a message of an old build that is refused, or read as another one.
  Scenario: What the old build writes is read here
    Then each message of the old build is read with its values
    And what the old build doesn't write is read as its default

  # Guards against an added message or field that an old build stumbles over.
  Scenario: What is written here is read by the old build
    Then the old schema reads each message that it knows, with its values
    And the old decoder takes all other messages for unsupported, not for malformed

  # Guards against an addition that the two scenarios above don't cover.
  Scenario Outline: <struct> of the old build lacks <names>
    Then only the schema here has "<names>" in "<struct>"

    Examples:
      | struct             | names                               |
      | Envelope.body      | reservationNews reservationReceipt  |
      | Admit              | failureDomains                      |
      | GatewayState       | forwards capacity load              |
      | EndpointLimit      | coldLeftMs                          |

  # Guards against a number that is used again, or a field that is renamed or removed.
  Scenario: The numbers of all fields stay what they are
    Then each recorded field is in the schema as it was recorded
    And each field of the schema is recorded
    And each field of the old build is recorded as it was

  # Guards against a check of the numbers that overlooks a change.
  Scenario Outline: A schema in which <change> breaks the record
    Then a schema with "<new>" in place of "<old>" breaks the record of "<place>"

    Examples:
      | change                     | old                  | new                   | place             |
      | a number is used again     | load @15 :UInt32     | other @15 :UInt32     | GatewayState @15  |
      | a field is removed         | revision @0 :UInt64; |                       | Ack @0            |
      | a field has another type   | capacity @14 :UInt32 | capacity @14 :UInt64  | GatewayState @14  |
      | two fields swap numbers    | on @1 :Bool          | on @2 :Bool           | Drain @1          |
      | a message has another type | hedge @30 :Hedge     | hedge @30 :Admit      | Envelope @30      |
