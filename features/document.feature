Feature: An accepted document is in force everywhere and never reverts

  Scenario: An edit is accepted, shown, and in force at every process
    Given a deployment of two pipelines
    When an operator adds customer "festival"
    Then version 2 is in force at every process
    And "history" prints "2  "
    And "show" prints "[customers.festival]"
    And "watch --count 1" prints "a1=2"
    And "status" prints "entry-1 (attica-1): version 2, active"

  # The version is accepted and the store goes down at once, before any process
  # has polled it. The operator's command tells the entry hosts, they tell the
  # rest.
  Scenario: The store goes down just after an acceptance
    Given a deployment of two pipelines
    When an operator adds customer "festival" and the store goes down at once
    Then version 2 is in force at every process

  # An entry host is replaced while the store is down. It remembers nothing,
  # asks its peers, and takes the highest version it hears of.
  Scenario: An entry host is replaced during an outage of the store
    Given a deployment of two pipelines
    When an operator adds customer "festival"
    Then version 2 is in force at every process
    When the store goes down
    And entry host 1 is killed and replaced
    Then version 2 is in force at every process
    And an answer of 5 tokens streams from entry host 1

  # The table service shows old rows to its readers. No process that has used
  # version 2 goes back to version 1.
  Scenario: The store shows a stale head
    Given a deployment of two pipelines
    And the table service shows readers the rows as they are now
    When an operator adds customer "festival" at the version before
    Then version 2 is in force at every process
    When 3 seconds of polling have passed
    Then version 2 is in force at every process

  # A side process is frozen while a version is accepted, and resumed. It
  # learns of the version with the first message it receives.
  Scenario: A paused side process is resumed
    Given a deployment of two pipelines
    When "a1" is frozen
    And an operator adds customer "festival"
    And "a1" is resumed
    Then version 2 is in force at every process

  # Two teams edit at once. One edits customers, one priorities: both edits
  # stand. A third edits customers from the old text and is shown both sides.
  Scenario: Teams race for one document
    Given a deployment of two pipelines
    When team "one" submits an edit of "customers" from version 1
    And team "two" submits an edit of "priorities" from version 1
    Then the submission is accepted
    When team "three" submits an edit of "customers" from version 1
    Then the submission is refused and shows both sides

  # The write took effect, its answer was lost. The command finds its own
  # submission in the history and does not submit twice.
  Scenario: The answer to a submission is lost
    Given a deployment of two pipelines
    And the table service loses its next 1 answers
    When an operator adds customer "festival"
    Then version 2 is in force at every process
    And "history" prints 2 lines
