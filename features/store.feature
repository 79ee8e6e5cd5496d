Feature: The platform's store may be down or slow for a long time

  # The store is down and then slow while callers stream. Model requests do not
  # depend on it. Each process backs off with jitter, so that the load on the store
  # stays low during the outage and does not spike after it.
  Scenario: Model traffic during an outage and a slow store
    Given a deployment of two pipelines
    When the store's calls are counted over 5 seconds as "before"
    And 4 callers stream responses of 30 tokens without a pause
    And the store is down
    And the store's calls are counted over 8 seconds as "down"
    And the store is up and takes 5 seconds for a response
    And the store's calls are counted over 8 seconds as "slow"
    And the store has recovered
    And the store's calls are counted over 5 seconds as "after"
    And the callers end
    Then no caller's request failed or was cut off
    And the store's calls as "down" are no more than as "before"
    And the store's calls as "slow" are no more than as "before"
    And the store's calls as "after" are no more than twice those as "before"

  # Bookings need the store. During the outage each one is refused at once as not
  # executed, with a Retry-After; afterwards the same key is accepted.
  Scenario: Bookings during an outage
    Given a deployment of two pipelines
    When the store is down
    Then 10 bookings are refused as store_unavailable and none ran
    When the store has recovered
    And "b0" is booked with key "k-b0" until it is accepted
    Then the tally of "b0" is 1
