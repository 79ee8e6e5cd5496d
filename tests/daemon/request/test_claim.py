"""Outcomes of calls on their way to the store."""

from __future__ import annotations

import anyio
import msgspec
import pytest

from hemlockhall_core.connection.message import CallResponse
from hemlockhall_core.process.table import Row
from hemlockhalld.request.claim import Claim, ClaimResult, Claims

pytestmark = pytest.mark.anyio

# Seconds a test waits for what must happen; generous for busy machines.
WAIT_S = 20.0


class SlowTable:
    """A table whose writes of one key wait until they are let go."""

    def __init__(self) -> None:
        self.rows: list[Row] = []
        self.waiting = anyio.Event()
        self.go = anyio.Event()

    async def commit(self, transaction: object) -> int:
        """Take a write; the one of ``k1`` waits."""
        if "k1" in repr(transaction):
            self.waiting.set()
            await self.go.wait()
        return 1

    async def read(self, key: str) -> Row | None:
        """Return the row; the second reader waits."""
        if not self.rows:
            return None
        row = self.rows.pop()
        if not self.rows:
            self.waiting.set()
            await self.go.wait()
        return row


class TestOutcomes:
    async def test_an_outcome_is_written_by_two_at_once(self) -> None:
        """A booking's outcome is being written when the round that repeats
        unwritten ones begins, with another key before it. By the time that the
        round comes to it, it is written and forgotten; the round ended the side
        process, and the callers were told that the outcome is not known."""
        table = SlowTable()
        claims = Claims(table, 1)  # type: ignore[arg-type]
        for key in ("k1", "k2"):
            claims._outcomes[key] = ClaimResult(Claim("1-1", "digest"), True, 1)
        async with anyio.create_task_group() as group:
            group.start_soon(claims.run)
            with anyio.fail_after(WAIT_S):
                await table.waiting.wait()
                answer = CallResponse("r1", 1, 201, [], b"booked")
                await claims.complete("k2", claims._outcomes["k2"], answer)
                table.go.set()
                while claims.pending_outcomes():
                    await anyio.sleep(0.005)
            await anyio.sleep(0.01)
            group.cancel_scope.cancel()
        assert claims.pending_outcomes() == 0

    async def test_a_claim_is_given_back_by_two_at_once(self) -> None:
        """A claim is given back while the round that repeats this reads the
        same row. It ended the side process in the same way."""
        table = SlowTable()
        claims = Claims(table, 1)  # type: ignore[arg-type]
        claim = Claim("1-1", "digest")
        row = Row("k2", msgspec.to_builtins(claim), 1)
        table.rows = [row, row]
        claims._abandon("k2", claim)
        async with anyio.create_task_group() as group:
            with anyio.fail_after(WAIT_S):
                await claims._remove_abandoned("k2")
                claims._abandon("k2", claim)
                group.start_soon(claims._remove_abandoned, "k2")
                await table.waiting.wait()
                await claims._remove_abandoned("k2")
                table.go.set()
        assert not claims._abandoned
