"""Tests of the rate and concurrency limits of a customer."""

from __future__ import annotations

import time

import pytest

from hemlockhall_core.request.reason import RefusalReason
from hemlockhall_core.version.document import Customer
from hemlockhalld.process.limiter import Limiter
from hemlockhalld.request.problem import Problem

CUSTOMER = Customer("parish", 1, 0.001, 4)


class TestAdmit:
    def test_concurrency_limit_is_divided_by_the_host_count(self) -> None:
        limiter = Limiter(lambda: 2)
        fast = Customer("parish", 1, 1e9, 4)
        limiter.admit(fast)
        limiter.admit(fast)
        with pytest.raises(Problem) as caught:
            limiter.admit(fast)
        assert caught.value.reason is RefusalReason.CONCURRENCY_LIMITED
        limiter.release(fast)
        limiter.admit(fast)

    def test_rate_limit_sets_retry_after(self) -> None:
        limiter = Limiter(lambda: 1)
        limiter.admit(CUSTOMER)
        with pytest.raises(Problem) as caught:
            limiter.admit(CUSTOMER)
        assert caught.value.reason is RefusalReason.RATE_LIMITED
        assert caught.value.retry_after == pytest.approx(1000, rel=0.01)


class TestManyHosts:
    @pytest.mark.parametrize(
        "customer", [Customer("parish", 1, 1.0, 100), Customer("parish", 1, 100.0, 4)]
    )
    def test_hosts_together_keep_limits_below_their_number(
        self, customer: Customer, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against 32 hosts that each admit one request, as a share of a limit
        below one is rounded up: a customer's limits hold for all hosts together."""
        now = time.monotonic()
        monkeypatch.setattr("time.monotonic", lambda: now)
        limiters = [Limiter(lambda: 32) for _ in range(32)]
        now += 1.0
        admitted = 0
        for limiter in limiters:
            try:
                limiter.admit(customer)
            except Problem:
                continue
            admitted += 1
        assert admitted <= min(customer.concurrency, max(1.0, customer.rate_per_s))


class TestRestarts:
    def test_a_burst_is_admitted_a_second_after_the_start(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against callers that are refused for longer than the burst of the
        process before this one can have taken."""
        now = time.monotonic()
        monkeypatch.setattr("time.monotonic", lambda: now)
        limiter = Limiter(lambda: 4)
        now += 1.0
        assert _admit_all(limiter, Customer("parish", 1, 100.0, 1000)) == 25

    def test_hosts_that_restart_in_turn_keep_the_rate(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a full bucket for each process that starts, on top of what the
        one before it has admitted."""
        now = time.monotonic()
        monkeypatch.setattr("time.monotonic", lambda: now)
        hosts, customer = 4, Customer("parish", 1, 100.0, 1000)
        limiters = [Limiter(lambda: hosts) for _ in range(hosts)]
        now += 1.0
        admitted = sum(_admit_all(limiter, customer) for limiter in limiters)
        for _ in range(hosts):
            admitted += _admit_all(Limiter(lambda: hosts), customer)
        # The rate allows bursts of one second's requests.
        assert admitted <= customer.rate_per_s


def _admit_all(limiter: Limiter, customer: Customer) -> int:
    """Return how many requests a host admits at once."""
    admitted = 0
    while True:
        try:
            limiter.admit(customer)
        except Problem:
            return admitted
        admitted += 1
