Feature: A leaving endpoint gets no new work, and a planned stop cuts nothing off

  Scenario Outline: An endpoint is leaving by <way>
    Given a deployment of two pipelines
    When "a2" is leaving by <way>
    And 3 seconds have passed
    And 10 answers of 3 tokens are asked for at each entry host
    Then all of them are whole
    And the engine of "a2" ran none of them

    Examples:
      | way                                             |
      | the drain command while the store is down       |
      | a mark in the host list                         |
      | removal from the document                       |
      | SIGTERM                                         |
      | a kill                                          |
      | a freeze                                        |

  # Streams run all the time while each side process and each entry host is
  # stopped and started anew. Callers choose an entry host that says that it is
  # ready, as the balancer does for them.
  Scenario: A rolling restart under load
    Given a deployment of two pipelines
    When 6 callers stream answers of 100 tokens without a pause
    And each side process and each entry host is restarted in turn
    And the callers end
    Then no caller's request failed or was cut off
