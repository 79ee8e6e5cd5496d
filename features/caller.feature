Feature: Each caller gets the complete response to its own request

  # 200 callers stream at the same time, each with its own prompt, while the
  # connections between the processes are closed repeatedly. Every response must
  # equal the output of the same model, computed in one loop by the test.
  Scenario: Many streams while connections are cut
    Given a deployment of two pipelines with a path before a1 b1 a2 b2 a3 b3
    When 200 callers stream responses of 12 tokens while connections are cut
    Then each response is that of the reference model
    And each token ran through every layer once, in order
    And the engines' slots are free

  Scenario: Many complete responses while connections go silent
    Given a deployment of two pipelines with a path before a1 b1 a2 b2 a3 b3
    When 60 callers ask for complete responses of 12 tokens while connections go silent
    Then each response is that of the reference model
    And the engines' slots are free

  # The caller disconnects in the middle of a response. The entry host closes the
  # request at every stage, and the engines free its slots.
  Scenario: A caller disconnects
    Given a deployment of two pipelines
    When a caller disconnects after 5 tokens of 400
    Then the engines' slots are free
    And no engine ran all of its 400 tokens

  # The engines are too slow for the deadline. The request is refused at the
  # deadline with a Retry-After; the late response is dropped.
  Scenario: A response comes after the deadline
    Given a deployment of two pipelines
    And the engines take 1 seconds for a step
    When a response of 3 tokens is asked for within 0.5 seconds
    Then the response is refused as deadline_exceeded with ran "unknown"
    And the engines' slots are free
    When the engines are fast again
    And a response of 3 tokens is asked for within 20 seconds
    Then it is that of the reference model

  # An entry host dies with open streams. Its callers see a stream that breaks off
  # without its end; the side processes free the engines' slots.
  Scenario: An entry host is killed in the middle of a response
    Given a deployment of two pipelines
    When entry host 1 is killed after 5 tokens of a response of 400
    Then the caller's stream breaks off
    And the engines' slots are free
