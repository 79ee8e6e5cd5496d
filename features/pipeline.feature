Feature: A model request runs through a pipeline of stages
  Each layer of the model runs exactly once for each token, in order, and the
  caller gets the whole answer, also when stages fail in between.

  Scenario: An undisturbed answer
    Given a deployment of two pipelines
    And an undisturbed answer of 20 tokens
    Then each token ran through every layer once, in order
    And the engines' slots are free

  # The caller sees a stream that goes on after a short pause. The side
  # process of the middle stage is killed while tokens flow; its KV cache is
  # out of reach. The entry host begins a second attempt over another middle
  # stage, which gets its inputs from what the first stage retained.
  Scenario: A stage is killed in the middle of decoding
    Given a deployment of two pipelines
    And an undisturbed answer of 30 tokens
    When the same answer is streamed and at token 10 the side process of stage 2 is killed
    Then the answer is whole and the same
    And each token ran through every layer once, in order
    And the counter retries of peer_lost moved at an entry host
    And the surviving engines ran at most 3 positions again
    When the killed side process is replaced
    Then the engines' slots are free

  # As above, but the first stage is lost: the prompt and the delivered tokens
  # are run again through the first layers only.
  Scenario: The first stage is killed in the middle of decoding
    Given a deployment of two pipelines
    And an undisturbed answer of 30 tokens
    When the same answer is streamed and at token 10 the side process of stage 1 is killed
    Then the answer is whole and the same
    And each token ran through every layer once, in order

  # The last stage is lost together with tokens that it sampled and nobody
  # received; its successor samples from the first token not delivered.
  Scenario: The last stage is killed in the middle of decoding
    Given a deployment of two pipelines
    And an undisturbed answer of 30 tokens
    When the same answer is streamed and at token 10 the side process of stage 3 is killed
    Then the answer is whole and the same
    And each token ran through every layer once, in order

  # The engine dies and its side process lives: it reports the loss, so the
  # repair does not wait for a heartbeat to be missed.
  Scenario: An engine is killed in the middle of decoding
    Given a deployment of two pipelines
    And an undisturbed answer of 30 tokens
    When the same answer is streamed and at token 10 the engine of stage 2 is killed
    Then the answer is whole and the same
    And the counter retries of engine_failed moved at an entry host

  # A frozen side process keeps its connections open and says nothing. It is
  # taken for dead by its silence, and when it resumes its old messages are
  # those of a superseded attempt.
  Scenario: A stage is frozen in the middle of decoding and resumed
    Given a deployment of two pipelines
    And an undisturbed answer of 30 tokens
    When the same answer is streamed and at token 10 the frozen side process of stage 2 keeps silent
    Then the answer is whole and the same
    When the frozen process is resumed
    Then an answer streamed now is whole and the same
    And each token ran through every layer once, in order
    And the engines' slots are free

  # As in the first failure, but the first stage retained nothing: it runs its
  # layers again, for the inputs of the new middle stage.
  Scenario: A stage is killed and nothing was retained
    Given a deployment of two pipelines that retains nothing
    And an undisturbed answer of 30 tokens
    When the same answer is streamed and at token 10 the side process of stage 2 is killed
    Then the answer is whole and the same
    And each token ran through every layer once, in order

  # Two stages of one pipeline are lost at the same moment. Whichever loss is
  # seen first, the repair runs into the other one and is repaired again.
  Scenario: Two stages are killed at once
    Given a deployment of two pipelines
    And an undisturbed answer of 30 tokens
    When the same answer is streamed and at token 10 stages 2 and 3 are killed
    Then the answer is whole and the same
    And each token ran through every layer once, in order

  # The second loss comes while the first is being repaired: the stage is
  # frozen, so its loss shows only after the repair has begun.
  Scenario: A stage is killed and another frozen at once
    Given a deployment of two pipelines
    And an undisturbed answer of 30 tokens
    When the same answer is streamed and at token 10 stage 2 is killed and stage 3 frozen
    Then the answer is whole and the same
    And each token ran through every layer once, in order

  # The prompt is on its way through the stages when one of them is killed; no
  # token has been delivered yet.
  Scenario: A stage is killed in prefill
    Given a deployment of two pipelines
    And an undisturbed answer of 8 tokens
    When the same answer is asked for and stage 2 is killed in prefill
    Then the answer is whole and the same
    And each token ran through every layer once, in order
