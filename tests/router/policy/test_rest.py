"""The rest of one endpoint, without hosts."""

from __future__ import annotations

import pytest

from hemlockhall_router.policy.rest import (
    MAX_EXTENSION_FRACTION,
    RETURN_REQUESTS,
    TRIAL_INTERVAL_S,
    Rest,
)

NOW = 100.0


@pytest.fixture()
def rest() -> Rest:
    result = Rest()
    result.extend(NOW, 3.0)
    return result


class TestDeadline:
    def test_it_is_not_before_the_stated_time(self) -> None:
        for _ in range(50):
            rest = Rest()
            rest.extend(NOW, 3.0)
            assert (
                NOW + 3.0 <= rest.deadline <= NOW + 3.0 * (1 + MAX_EXTENSION_FRACTION)
            )
            assert not rest.may_send(NOW + 2.99)
            assert rest.may_send(rest.deadline)

    def test_hosts_that_were_turned_away_together_return_apart(self) -> None:
        """Guards against a wave of requests from all hosts at the end of a rest."""
        deadlines = []
        for _ in range(400):
            rest = Rest()
            rest.extend(NOW, 3.0)
            deadlines.append(rest.deadline)
        span_s = 3.0 * MAX_EXTENSION_FRACTION
        early = [at for at in deadlines if at < NOW + 3.0 + span_s / 10]
        assert len(early) < len(deadlines) / 5

    def test_a_shorter_request_does_not_shorten_it(self, rest: Rest) -> None:
        """Guards against a second refusal that ends an earlier, longer rest."""
        deadline = rest.deadline
        rest.extend(NOW + 0.1, 0.5)
        assert rest.deadline == deadline

    def test_a_longer_request_lengthens_it(self, rest: Rest) -> None:
        rest.extend(NOW + 1.0, 10.0)
        assert not rest.may_send(NOW + 10.9)

    def test_a_request_accepted_before_does_not_end_it(self, rest: Rest) -> None:
        """Guards against responses to requests under way that end a rest."""
        for _ in range(RETURN_REQUESTS):
            rest.record_accepted(NOW + 1.0)
        assert not rest.over
        assert not rest.may_send(NOW + 1.0)


class TestReturn:
    def test_one_request_is_sent_until_it_is_accepted(self, rest: Rest) -> None:
        """Guards against a host that sends all of its requests at the end of a rest."""
        now = rest.deadline
        assert rest.may_send(now)
        rest.record_sent(now)
        assert not rest.may_send(now + 0.1)
        assert rest.next_at(now + 0.1) == now + TRIAL_INTERVAL_S
        rest.record_accepted(now + 0.2)
        sent = 0
        while rest.may_send(now + 0.2):
            rest.record_sent(now + 0.2)
            sent += 1
        assert sent == 2

    def test_another_one_is_sent_if_it_gets_no_response(self, rest: Rest) -> None:
        """Guards against an endpoint that gets no request again as one was lost."""
        now = rest.deadline
        rest.record_sent(now)
        assert rest.may_send(now + TRIAL_INTERVAL_S)

    def test_it_is_over_after_a_number_of_accepted_requests(self, rest: Rest) -> None:
        now = rest.deadline
        for _ in range(RETURN_REQUESTS):
            assert not rest.over
            rest.record_sent(now)
            rest.record_accepted(now)
        assert rest.over

    def test_a_refusal_begins_a_rest_of_its_own(self, rest: Rest) -> None:
        now = rest.deadline
        rest.record_sent(now)
        rest.extend(now + 0.1, 3.0)
        assert not rest.may_send(now + 3.0)
        assert rest.may_send(rest.deadline)
