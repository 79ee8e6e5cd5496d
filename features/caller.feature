Feature: Each caller gets the whole answer to its own request

  # Two hundred callers stream at once, each with a prompt of its own, while
  # the connections between the processes are cut again and again. Every answer
  # must be that of the same model run by one plain loop in the test.
  Scenario: Many streams while connections are cut
    Given a deployment of two pipelines with a path before a1 b1 a2 b2 a3 b3
    When 200 callers stream answers of 12 tokens while connections are cut
    Then each answer is that of the reference model
    And each token ran through every layer once, in order
    And the engines' slots are free

  Scenario: Many whole answers while connections go silent
    Given a deployment of two pipelines with a path before a1 b1 a2 b2 a3 b3
    When 60 callers ask for whole answers of 12 tokens while connections go silent
    Then each answer is that of the reference model
    And the engines' slots are free

  # The caller closes its connection in the middle of an answer. The entry host
  # closes the request at every stage and the engines free its slots.
  Scenario: A caller leaves
    Given a deployment of two pipelines
    When a caller leaves after 5 tokens of 400
    Then the engines' slots are free
    And no engine ran all of its 400 tokens

  # The engine is too slow for the deadline. The refusal comes at the deadline
  # and says when to come back; the late answer reaches nobody.
  Scenario: An answer comes after the deadline
    Given a deployment of two pipelines
    And the engines take 1 seconds for a step
    When an answer of 3 tokens is asked for within 0.5 seconds
    Then the answer is refused as deadline_exceeded with ran "unknown"
    And the engines' slots are free
    When the engines are fast again
    And an answer of 3 tokens is asked for within 20 seconds
    Then it is that of the reference model

  # An entry host dies with streams open. Its callers see a cut stream without
  # its end; the side processes free the engines' slots.
  Scenario: An entry host is killed in the middle of an answer
    Given a deployment of two pipelines
    When entry host 1 is killed after 5 tokens of an answer of 400
    Then the caller's stream has no end
    And the engines' slots are free
