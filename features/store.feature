Feature: The platform's store may be down or slow for long

  # The store is down and then slow while callers stream. Model requests do not
  # touch it. Each process leaves it alone for a jittered pause, so that its
  # load stays low during the outage and does not jump after it.
  Scenario: Model traffic during an outage and a slow store
    Given a deployment of two pipelines
    When the store's calls are counted over 5 seconds as "before"
    And 4 callers stream answers of 30 tokens without a pause
    And the store is down
    And the store's calls are counted over 8 seconds as "down"
    And the store is up and takes 5 seconds for an answer
    And the store's calls are counted over 8 seconds as "slow"
    And the store is well again
    And the store's calls are counted over 5 seconds as "after"
    And the callers end
    Then no caller's request failed or was cut off
    And the store's calls as "down" are no more than as "before"
    And the store's calls as "slow" are no more than as "before"
    And the store's calls as "after" are no more than twice those as "before"

  # Bookings need the store. During the outage each is refused at once, as not
  # run, with when to come back; after it the same key is taken.
  Scenario: Bookings during an outage
    Given a deployment of two pipelines
    When the store is down
    Then 10 bookings are refused as store_unavailable and none ran
    When the store is well again
    And "b0" is booked with key "k-b0" until it is taken
    Then the tally of "b0" is 1
