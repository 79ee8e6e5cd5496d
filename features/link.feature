Feature: Connections that go silent for good
  Something between two processes has lost track of their connection: bytes
  are swallowed, both ends think that it is open, new connections work.

  # The request is in the middle of decoding when its connections fall silent.
  # What was not acknowledged is sent again on a new connection, numbered, so
  # that nothing is lost and nothing runs twice; the host is not given up.
  Scenario Outline: Connections to <role> go silent in the middle of an answer
    Given a deployment of two pipelines with a path before <names>
    And an undisturbed answer of 40 tokens
    When the same answer is streamed and at token 10 connections to <names> go silent
    Then the answer is whole and the same
    And each token ran through every layer once, in order
    And the first attempt was not given up

    Examples:
      | role               | names             |
      | the first stage    | a1 b1             |
      | the middle stage   | a2 b2             |
      | the last stage     | a3 b3             |
      | the entry hosts    | entry-1 entry-2   |

  # Both ways at once, and a second time on the connections that replaced the
  # first ones.
  Scenario: All connections go silent twice in one answer
    Given a deployment of two pipelines with a path before a1 b1 a2 b2 a3 b3 entry-1
    And an undisturbed answer of 60 tokens
    When the same answer is streamed and at tokens 10 and 40 all connections go silent
    Then the answer is whole and the same
    And each token ran through every layer once, in order
    And the first attempt was not given up

  # A booking's answer is on its way back when the connection falls silent. It
  # arrives on the next one; the booking runs once.
  Scenario: The connection that carries a booking's answer goes silent
    Given a deployment of two pipelines with a path before loft-1 entry-1
    And the booking service takes 1 seconds for an answer
    When "b1" is sent with key "k1" and all connections go silent
    Then the answer has status 201
    And the tally of "b1" is 1

  # A link that was fast becomes slow for every chunk; nothing is given up.
  Scenario: A link degrades in the middle of an answer
    Given a deployment of two pipelines with a path before a2 b2
    And an undisturbed answer of 20 tokens
    When the same answer is streamed and at token 5 each chunk to a2 b2 takes 0.1 seconds
    Then the answer is whole and the same
    And each token ran through every layer once, in order
