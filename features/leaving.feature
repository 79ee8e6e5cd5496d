Feature: A leaving endpoint gets no new requests, and a graceful stop breaks none off

  Scenario Outline: An endpoint is leaving by <way>
    Given a deployment of two pipelines
    When "a2" is leaving by <way>
    And 3 seconds have passed
    And 10 responses of 3 tokens are asked for at each entry host
    Then all of them are complete
    And the engine of "a2" ran none of them

    Examples:
      | way                                             |
      | the drain command while the store is down       |
      | a mark in the host list                         |
      | removal from the document                       |
      | SIGTERM                                         |
      | a kill                                          |
      | a freeze                                        |

  # Streams are open all the time while each side process and each entry host is
  # stopped and restarted. Callers choose an entry host that reports ready, as a
  # load balancer does.
  Scenario: A rolling restart under load
    Given a deployment of two pipelines
    When 6 callers stream responses of 100 tokens without a pause
    And each side process and each entry host is restarted in turn
    And the callers end
    Then no caller's request failed or was cut off
