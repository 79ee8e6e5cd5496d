Feature: An accepted document comes into force everywhere and never reverts

  Scenario: An edit is accepted, shown, and in force at every process
    Given a deployment of two pipelines
    When an operator adds customer "festival"
    Then version 2 is in force at every process
    And "history" prints "2  "
    And "show" prints "[customers.festival]"
    And "watch --count 1" prints "a1=2"
    And "status" prints "entry-1 (attica-1): version 2, active"

  # The store goes down right after it accepted the version, before any process
  # has polled it. The command line tool sends the version to the entry hosts,
  # which send it to the other processes.
  Scenario: The store goes down just after an acceptance
    Given a deployment of two pipelines
    When an operator adds customer "festival" and the store goes down at once
    Then version 2 is in force at every process

  # An entry host is replaced while the store is down. It starts without state,
  # asks its peers and applies the highest version among their responses.
  Scenario: An entry host is replaced during an outage of the store
    Given a deployment of two pipelines
    When an operator adds customer "festival"
    Then version 2 is in force at every process
    When the store goes down
    And entry host 1 is killed and replaced
    Then version 2 is in force at every process
    And a response of 5 tokens streams from entry host 1

  # The table service returns stale rows to its readers. No process that has
  # applied version 2 reverts to version 1.
  Scenario: The store shows a stale head
    Given a deployment of two pipelines
    And the table service shows readers the rows as they are now
    When an operator adds customer "festival" based on the version before
    Then version 2 is in force at every process
    When 3 seconds of polling have passed
    Then version 2 is in force at every process

  # A side process is frozen while a version is accepted, and then resumed. It
  # learns of the version from the first message that it receives.
  Scenario: A paused side process is resumed
    Given a deployment of two pipelines
    When "a1" is frozen
    And an operator adds customer "festival"
    And "a1" is resumed
    Then version 2 is in force at every process

  # Two teams edit different sections, customers and priorities, at the same time:
  # both edits are merged. A third edit of customers from the old text conflicts,
  # and the command prints both sides.
  Scenario: Teams race for one document
    Given a deployment of two pipelines
    When team "one" submits an edit of "customers" from version 1
    And team "two" submits an edit of "priorities" from version 1
    Then the submission is accepted
    When team "three" submits an edit of "customers" from version 1
    Then the submission is refused and shows both sides

  # The write took effect but its response was lost. The command finds its own
  # submission in the history and does not submit it again.
  Scenario: The response to a submission is lost
    Given a deployment of two pipelines
    And the table service loses its next 1 responses
    When an operator adds customer "festival"
    Then version 2 is in force at every process
    And "history" prints 2 lines
