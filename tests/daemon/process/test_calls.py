"""Stateful test of at-most-once calls with failures of the store and hosts."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import anyio
import httpx
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from hemlockhall_core.connection.message import Call, CallRefused, CallResponse
from hemlockhall_core.process.error import (
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from hemlockhall_core.process.table import Row, Transaction
from hemlockhall_core.request.reason import Ran
from hemlockhalld.process import calls as calls_module
from hemlockhalld.process.calls import Calls
from hemlockhalld.request.claim import Claims

KEYS = ("k1", "k2")
STORE_FAULTS = ("none", "lost", "lost_then_down", "down")
SERVICE_BEHAVIOURS = (
    "answers",
    "loses_answer",
    "refuses",
    "host_dies_before",
    "host_dies_after",
)


class HostDiedError(BaseException):
    """The side process dies at this point."""


@dataclass
class FakeTable:
    """A table service with one injected fault at a time."""

    rows: dict[str, Row] = field(default_factory=dict)
    fault: str = "none"
    down: bool = False
    clock: int = 0

    async def read(self, key: str) -> Row | None:
        """Return a row."""
        if self.down:
            raise StoreUnavailableError("down", 1.0)
        return self.rows.get(key)

    async def commit(self, transaction: Transaction) -> int:
        """Commit, or fail or lose the response as ``fault`` says."""
        if self.down or self.fault == "down":
            raise StoreUnavailableError("down", 1.0)
        for check in transaction.checks:
            row = self.rows.get(check.key)
            if (row.version if row else 0) != check.version:
                raise StoreConflictError([check.key])
        self.clock += 1
        for put in transaction.puts:
            self.rows[put.key] = Row(put.key, put.value, self.clock)
        for key in transaction.deletes:
            self.rows.pop(key, None)
        fault, self.fault = self.fault, "none"
        if fault.startswith("lost"):
            self.down = fault == "lost_then_down"
            raise StoreOutcomeUnknownError("answer lost")
        return self.clock


@dataclass
class FakePeer:
    """Records the messages to the entry host."""

    posted: list[Any] = field(default_factory=list)

    def post(self, message: Any) -> None:
        """Record a message."""
        self.posted.append(message)


class Bookings(RuleBasedStateMachine):
    """Two side processes make calls under two keys while hosts and store fail."""

    def __init__(self) -> None:
        super().__init__()
        self.table = FakeTable()
        self.call_counts: Counter[str] = Counter()
        self.response_bodies: dict[str, set[bytes]] = {key: set() for key in KEYS}
        self.service_behaviour = "answers"
        self.boots = 0
        self.requests = 0

    @initialize()
    def start(self) -> None:
        self.sides = [self.side(), self.side()]

    def side(self) -> tuple[Calls, Claims]:
        self.boots += 1
        claims = Claims(self.table, self.boots)  # type: ignore[arg-type]
        calls = Calls("http://service", claims)
        transport = httpx.MockTransport(self.serve)
        calls._client = httpx.AsyncClient(
            transport=transport, base_url="http://service"
        )
        return calls, claims

    def serve(self, request: httpx.Request) -> httpx.Response:
        if self.service_behaviour == "refuses":
            raise httpx.ConnectError("refused")
        if self.service_behaviour == "host_dies_before":
            raise HostDiedError
        key = request.headers["x-key"]
        self.call_counts[key] += 1
        if self.service_behaviour == "host_dies_after":
            raise HostDiedError
        if self.service_behaviour == "loses_answer":
            raise httpx.ReadError("cut")
        return httpx.Response(201, content=f"{key}-{self.call_counts[key]}".encode())

    @rule(
        side=st.integers(0, 1),
        key=st.sampled_from(KEYS),
        fault=st.sampled_from(STORE_FAULTS),
        service_behaviour=st.sampled_from(SERVICE_BEHAVIOURS),
        expired=st.booleans(),
    )
    def book(
        self, side: int, key: str, fault: str, service_behaviour: str, expired: bool
    ) -> None:
        self.table.fault, self.service_behaviour = fault, service_behaviour
        self.requests += 1
        call = self.call(key, -1.0 if expired else 9.0)
        count_before = self.call_counts[key]
        peer = FakePeer()
        try:
            anyio.run(self.sides[side][0].run, peer, call)
        except HostDiedError:
            self.sides[side] = self.side()
        self.table.fault = "none"
        for message in peer.posted:
            self.check_message(key, count_before, message)

    def call(self, key: str, expires_in: float) -> Call:
        from hemlockhall_core.connection.message import Header

        headers = [Header("x-key", key)]
        name = f"r{self.requests}"
        return Call(
            name,
            1,
            1,
            "parish",
            "booking",
            "POST",
            "/b",
            "",
            headers,
            b"x",
            key,
            False,
            expires_in,
        )

    def check_message(self, key: str, count_before: int, message: Any) -> None:
        if isinstance(message, CallResponse):
            self.response_bodies[key].add(message.body)
            return
        assert isinstance(message, CallRefused)
        if message.ran == Ran.NO.value:
            assert self.call_counts[key] == count_before, (
                f"reported as not executed, but it ran: {message}"
            )

    @rule()
    def store_is_back(self) -> None:
        self.table.down = False

    @rule(side=st.integers(0, 1))
    def clean(self, side: int) -> None:
        claims = self.sides[side][1]

        async def once() -> None:
            for key in list(claims._outcomes):
                await claims._write_outcome(key)
            for key in list(claims._abandoned):
                await claims._remove_abandoned(key)

        anyio.run(once)

    @invariant()
    def at_most_once(self) -> None:
        for key in KEYS:
            assert self.call_counts[key] <= 1, (
                f"{key} ran {self.call_counts[key]} times"
            )
            assert len(self.response_bodies[key]) <= 1, self.response_bodies[key]


class TestAtMostOnce:
    def test_no_sequence_of_failures_runs_a_call_twice(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(calls_module, "CLAIM_POLL_DELAYS_S", (0.0,))
        from hypothesis.stateful import run_state_machine_as_test

        profile = settings(
            max_examples=60, stateful_step_count=25, deadline=None, derandomize=True
        )
        run_state_machine_as_test(Bookings, settings=profile)

    def test_call_is_not_started_after_its_deadline(self) -> None:
        """A side process that was paused must not start an expired call."""
        machine = Bookings()
        machine.start()
        call = machine.call("k1", -1.0)
        peer = FakePeer()
        anyio.run(machine.sides[0][0].run, peer, call)
        assert peer.posted[0].ran == Ran.NO.value
        assert machine.call_counts["k1"] == 0
