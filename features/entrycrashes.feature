Feature: Prompts that crash engines don't end them all
  Prompts with one part in common end each engine that begins to answer them.  The
  engines are not back before the scenario ends.

  # Guards against prompts that crash one engine after the other until none is left.
  Scenario Outline: <kind> prompts that crash engines are refused, and sound ones served
    Given a "herd" fleet of 3 hosts, 6 engines and 1 workers that a prompt crashes
    When 12 <kind> prompts that crash engines come at all entries
    Then at least 2 engines still run
    And sound prompts with the same beginning are answered at all entries
    And a prompt that crashes engines is refused at all entries

    Examples:
      | kind     |
      | streamed |
      | whole    |

  # Guards against an entry that starts again and sends what the others refuse.
  Scenario: A process that starts again refuses them too
    Given a "herd" fleet of 3 hosts, 6 engines and 1 workers that a prompt crashes
    When 12 streamed prompts that crash engines come at all entries
    And the <program> of a host starts again, for each of "entry, scheduler"
    Then a prompt that crashes engines is refused at all entries

  # Guards against calls of a service that crash one worker after the other.
  Scenario: Calls that crash workers are refused, and sound ones served
    Given a "herd" fleet of 3 hosts, 1 engines and 6 workers that a call crashes
    When 12 calls that crash workers come at all entries
    Then at least 2 workers still run
    And sound calls are answered at all entries
    And a call that crashes workers is refused at all entries

  # Guards against half of an answer that ends with its worker and is passed on as whole.
  Scenario: An answer without a length whose worker ends with it isn't whole
    Given a "herd" fleet of 3 hosts, 1 engines and 3 workers that end in the middle of answers
    When a call comes whose answer has no length
    Then the call is answered whole, or as one that may have run
