Feature: A model request runs through a pipeline of stages
  Each layer of the model runs exactly once for each token, in order, and the
  caller gets the complete response, even if stages fail meanwhile.

  Scenario: An undisturbed response
    Given a deployment of two pipelines
    And an undisturbed response of 20 tokens
    Then each token ran through every layer once, in order
    And the engines' slots are free

  # The side process of the middle stage is killed during decoding, so its KV
  # cache is lost. The entry host starts a second attempt with another middle
  # stage, which gets its inputs from the outputs that the first stage retained.
  # The caller sees a short pause in the stream.
  Scenario: A stage is killed in the middle of decoding
    Given a deployment of two pipelines
    And an undisturbed response of 30 tokens
    When the same response is streamed and at token 10 the side process of stage 2 is killed
    Then the response is complete and unchanged
    And each token ran through every layer once, in order
    And the counter retries of peer_lost increased at an entry host
    And the surviving engines ran at most 3 positions again
    When the killed side process is replaced
    Then the engines' slots are free

  # As above, but the first stage is lost: the prompt and the delivered tokens
  # are recomputed by the first layers only.
  Scenario: The first stage is killed in the middle of decoding
    Given a deployment of two pipelines
    And an undisturbed response of 30 tokens
    When the same response is streamed and at token 10 the side process of stage 1 is killed
    Then the response is complete and unchanged
    And each token ran through every layer once, in order

  # The last stage is lost together with sampled tokens that were not delivered.
  # Its replacement samples again from the first undelivered token.
  Scenario: The last stage is killed in the middle of decoding
    Given a deployment of two pipelines
    And an undisturbed response of 30 tokens
    When the same response is streamed and at token 10 the side process of stage 3 is killed
    Then the response is complete and unchanged
    And each token ran through every layer once, in order

  # The engine dies and its side process survives. It reports the failure, so
  # that the repair does not wait for missed heartbeats.
  Scenario: An engine is killed in the middle of decoding
    Given a deployment of two pipelines
    And an undisturbed response of 30 tokens
    When the same response is streamed and at token 10 the engine of stage 2 is killed
    Then the response is complete and unchanged
    And the counter retries of engine_failed increased at an entry host

  # A frozen side process keeps its connections open and sends nothing. It is
  # considered dead for missed heartbeats. When it resumes, its old messages
  # belong to a superseded attempt and are ignored.
  Scenario: A stage is frozen in the middle of decoding and resumed
    Given a deployment of two pipelines
    And an undisturbed response of 30 tokens
    When the same response is streamed and at token 10 the frozen side process of stage 2 sends nothing
    Then the response is complete and unchanged
    When the frozen process is resumed
    Then a response streamed now is complete and unchanged
    And each token ran through every layer once, in order
    And the engines' slots are free

  # As in the first scenario with a failure, but the first stage retained nothing:
  # it runs its layers again to produce the inputs of the new middle stage.
  Scenario: A stage is killed and nothing was retained
    Given a deployment of two pipelines that retains nothing
    And an undisturbed response of 30 tokens
    When the same response is streamed and at token 10 the side process of stage 2 is killed
    Then the response is complete and unchanged
    And each token ran through every layer once, in order

  # Two stages of one pipeline are lost at the same moment. The repair of the loss
  # that is detected first runs into the other loss, and is repaired in turn.
  Scenario: Two stages are killed at once
    Given a deployment of two pipelines
    And an undisturbed response of 30 tokens
    When the same response is streamed and at token 10 stages 2 and 3 are killed
    Then the response is complete and unchanged
    And each token ran through every layer once, in order

  # The second loss is detected during the repair of the first: a frozen stage is
  # noticed only after the repair has begun.
  Scenario: A stage is killed and another frozen at once
    Given a deployment of two pipelines
    And an undisturbed response of 30 tokens
    When the same response is streamed and at token 10 stage 2 is killed and stage 3 frozen
    Then the response is complete and unchanged
    And each token ran through every layer once, in order

  # A stage is killed while the prompt passes through the stages, before any token
  # was delivered.
  Scenario: A stage is killed in prefill
    Given a deployment of two pipelines
    And an undisturbed response of 8 tokens
    When the same response is asked for and stage 2 is killed in prefill
    Then the response is complete and unchanged
    And each token ran through every layer once, in order
