Feature: A booking runs at most once
  The service counts how often each booking took effect.

  Scenario: A key is repeated, at two entry hosts and with another body
    Given a deployment of a booking service with 2 endpoints
    When "b1" is booked with key "k1" at entry host 1
    Then the response has status 201
    When "b1" is booked with key "k1" at entry host 2
    Then it is the same response as before
    When "b2" is booked with key "k1" at entry host 2
    Then the refusal is key_reused with ran "no"
    When "b1" is booked without a key
    Then the refusal is key_missing with ran "no"
    And the tally of "b1" is 1
    And the tally of "b2" is 0

  # Two entry hosts call two side processes at the same moment. The claim is
  # inserted by one of them. The other waits briefly and returns the response of
  # the first, or refuses the call as in progress.
  Scenario: The same key at both entry hosts at the same moment
    Given a deployment of a booking service with 2 endpoints
    When 20 bookings are sent at the same moment, each to both entry hosts
    Then each took effect once and all responses to a key are the same

  # The table service writes the claim, but its response is lost. The side process
  # reads its own claim back and continues; the caller does not notice.
  Scenario: The store's response is lost after the write took effect
    Given a deployment of a booking service with 2 endpoints
    And the table service loses its next 1 responses
    When "b1" is booked with key "k1" at entry host 1
    Then the response has status 201
    When "b1" is booked with key "k1" at entry host 2
    Then it is the same response as before
    And the tally of "b1" is 1

  # The claim is written, but the store goes down before it can be read back.
  # The booking is refused as not executed, and is not executed. The claim is
  # deleted once the store is back, so that the caller's retry is executed.
  Scenario: The store goes down right after it wrote a claim
    Given a deployment of a booking service with 2 endpoints
    And the table service loses its next response and is down from then on
    When "b1" is booked with key "k1" at entry host 1
    Then the refusal is store_unavailable with ran "no"
    And it has a Retry-After
    And the tally of "b1" is 0
    When the table service is up again
    And "b1" is booked with key "k1" until it is accepted
    Then the tally of "b1" is 1

  # A side process is killed while the service handles a booking. It is unknown
  # whether the booking took effect, so no other side process may execute it.
  Scenario: A side process is killed during a booking and replaced
    Given a deployment of a booking service with 2 endpoints
    And the service takes 3 seconds for a response
    When "b1" is sent with key "k1" and the side process that has it is killed
    Then the refusal is in_progress with ran "unknown"
    When the side process is replaced
    And "b1" is booked with key "k1" at entry host 2
    Then the refusal is in_progress with ran "unknown"
    And the tally of "b1" is 1

  # The side process that holds a claim is frozen past the caller's deadline and
  # resumed. It drops the call because of the deadline, or had started it before.
  # Either way the booking must not take effect twice.
  Scenario: A holder is frozen past the deadline and resumed
    Given a deployment of a booking service with 2 endpoints
    And the table service takes 0.4 seconds for a response
    When "b1" is sent with key "k1" and the side process that has it is frozen
    And the frozen side process is resumed
    And the table service responds at once again
    And "b1" is booked with key "k1" until it is accepted or in progress
    Then the tally of "b1" is at most 1

  # The entry host dies while the booking is in flight. The caller retries it with
  # the same key at another entry host and gets the response of the first attempt.
  Scenario: An entry host is killed during a booking
    Given a deployment of a booking service with 2 endpoints
    And the service takes 1 seconds for a response
    When "b1" is sent with key "k1" and entry host 1 is killed
    And "b1" is booked with key "k1" at entry host 2 until it is accepted
    Then the tally of "b1" is 1
