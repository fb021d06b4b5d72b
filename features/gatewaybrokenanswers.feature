Feature: Answers that break off, and what follows them
  Reports of other operators: an error's text in the middle of a stream, and answers of
  endpoints that stop within their head.

  # Guards against an answer that is no continuation within a stream that has begun.
  Scenario Outline: A stream breaks off and the next engine answers with <answer>
    Given a site with 2 engines of 20 events
    And the first engine to be asked breaks off after 5 events
    And after that every engine answers with <answer>
    When a caller streams /check/x
    Then the caller gets whole events alone, and no end

    Examples:
      | answer                             |
      | a signed error                     |
      | a signed error without a length    |
      | an unsigned error                  |
      | a refusal                          |
      | an error that looks like events    |
      | a success that isn't a stream      |
      | a success without a type           |
      | an empty success                   |
      | an empty success without a length  |
      | a success with no content          |
      | half of a head                     |
      | two heads                          |

  # Guards against the same where a stream is moved to an engine that then answers so.
  Scenario Outline: A stream is moved and the next engine answers with <answer>
    Given a site with 2 engines of 60 events
    And once a run is stopped every engine answers with <answer>
    When a caller streams /draft/x and the engine leaves after 10 events
    Then the caller gets whole events alone, and no end

    Examples:
      | answer                             |
      | a signed error                     |
      | a signed error without a length    |
      | an error that looks like events    |
      | a success that isn't a stream      |
      | an empty success without a length  |

  # Guards against half of a head that passes as a whole answer.
  Scenario Outline: An endpoint stops anywhere within the head of its answer to a <kind> request
    Given a site with 1 plain endpoints, 1 engines and 1 gateways
    When a <kind> request is answered with each beginning of a head that is <framing>
    Then none of the answers is a success

    Examples:
      | kind   | framing         |
      | safe   | with a length   |
      | safe   | without one     |
      | safe   | in chunks       |
      | unsafe | with a length   |
      | stream | with a length   |
      | stream | without one     |
      | stream | in chunks       |
