Feature: Connections that go silent for good
  A device between two processes has dropped the state of their connection: it
  discards their bytes, both ends see an open connection, new connections work.

  # The connections go silent while the request is decoding. Unacknowledged
  # messages are sent again on a new connection with their sequence numbers, so
  # that none is lost or handled twice. The peer is not considered lost.
  Scenario Outline: Connections to <role> go silent in the middle of a response
    Given a deployment of two pipelines with a path before <names>
    And an undisturbed response of 40 tokens
    When the same response is streamed and at token 10 connections to <names> go silent
    Then the response is complete and unchanged
    And each token ran through every layer once, in order
    And there was no second attempt

    Examples:
      | role               | names             |
      | the first stage    | a1 b1             |
      | the middle stage   | a2 b2             |
      | the last stage     | a3 b3             |
      | the entry hosts    | entry-1 entry-2   |

  # All connections go silent at once in both directions, and a second time after
  # they were replaced.
  Scenario: All connections go silent twice in one response
    Given a deployment of two pipelines with a path before a1 b1 a2 b2 a3 b3 entry-1
    And an undisturbed response of 60 tokens
    When the same response is streamed and at tokens 10 and 40 all connections go silent
    Then the response is complete and unchanged
    And each token ran through every layer once, in order
    And there was no second attempt

  # The connection goes silent while the response to a booking is on its way. The
  # response arrives on the next connection; the booking takes effect once.
  Scenario: The connection that carries a booking's response goes silent
    Given a deployment of two pipelines with a path before loft-1 entry-1
    And the booking service takes 1 seconds for a response
    When "b1" is sent with key "k1" and all connections go silent
    Then the response has status 201
    And the tally of "b1" is 1

  # A fast link becomes slow for every chunk. The request must not be affected.
  Scenario: A link degrades in the middle of a response
    Given a deployment of two pipelines with a path before a2 b2
    And an undisturbed response of 20 tokens
    When the same response is streamed and at token 5 each chunk to a2 b2 takes 0.1 seconds
    Then the response is complete and unchanged
    And each token ran through every layer once, in order
