Feature: A booking runs at most once
  The service's own tally tells how often a booking took effect.

  Scenario: A key is repeated, at two entry hosts and with another body
    Given a deployment of a booking service with 2 endpoints
    When "b1" is booked with key "k1" at entry host 1
    Then the answer has status 201
    When "b1" is booked with key "k1" at entry host 2
    Then it is the same answer as before
    When "b2" is booked with key "k1" at entry host 2
    Then the refusal is key_reused with ran "no"
    When "b1" is booked without a key
    Then the refusal is key_missing with ran "no"
    And the tally of "b1" is 1
    And the tally of "b2" is 0

  # Two hosts ask two side processes at one moment. The claim's insert succeeds
  # for one; the other waits a little and reads the first answer, or says that
  # the call is in progress.
  Scenario: The same key at both entry hosts at the same moment
    Given a deployment of a booking service with 2 endpoints
    When 20 bookings are sent at the same moment, each to both entry hosts
    Then each took effect once and all answers to a key are the same

  # The table service writes the claim and its answer is lost. The side process
  # reads back its own claim and goes on; the caller sees nothing of it.
  Scenario: The store's answer is lost after the write took effect
    Given a deployment of a booking service with 2 endpoints
    And the table service loses its next 1 answers
    When "b1" is booked with key "k1" at entry host 1
    Then the answer has status 201
    When "b1" is booked with key "k1" at entry host 2
    Then it is the same answer as before
    And the tally of "b1" is 1

  # The claim took effect, but the store went down before it could be read
  # back. The booking is refused as not run, and it did not run; the claim is
  # taken away when the store is back, so that the caller's repeat runs.
  Scenario: The store goes down right after it took a claim
    Given a deployment of a booking service with 2 endpoints
    And the table service loses its next answer and is down from then on
    When "b1" is booked with key "k1" at entry host 1
    Then the refusal is store_unavailable with ran "no"
    And it says when to come back
    And the tally of "b1" is 0
    When the table service is up again
    And "b1" is booked with key "k1" until it is taken
    Then the tally of "b1" is 1

  # A side process is killed while the service works on a booking. Nobody
  # knows whether it took effect; no other side process may try.
  Scenario: A side process is killed during a booking and replaced
    Given a deployment of a booking service with 2 endpoints
    And the service takes 3 seconds for an answer
    When "b1" is sent with key "k1" and the side process that has it is killed
    Then the refusal is in_progress with ran "unknown"
    When the side process is replaced
    And "b1" is booked with key "k1" at entry host 2
    Then the refusal is in_progress with ran "unknown"
    And the tally of "b1" is 1

  # The holder of a claim is frozen past the caller's deadline and resumed. It
  # finds the deadline past and leaves the call alone, or had it running; in
  # no case does the booking run twice.
  Scenario: A holder is frozen past the deadline and resumed
    Given a deployment of a booking service with 2 endpoints
    And the table service takes 0.4 seconds for an answer
    When "b1" is sent with key "k1" and the side process that has it is frozen
    And the frozen side process is resumed
    And the table service answers at once again
    And "b1" is booked with key "k1" until it is taken or in progress
    Then the tally of "b1" is at most 1

  # The entry host dies with the booking under way; the caller repeats it with
  # the same key at another one and gets the answer of the first run.
  Scenario: An entry host is killed during a booking
    Given a deployment of a booking service with 2 endpoints
    And the service takes 1 seconds for an answer
    When "b1" is sent with key "k1" and entry host 1 is killed
    And "b1" is booked with key "k1" at entry host 2 until it is taken
    Then the tally of "b1" is 1
