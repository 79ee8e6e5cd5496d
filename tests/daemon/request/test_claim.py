"""Tests of concurrent writes and removals of claims."""

from __future__ import annotations

import anyio
import msgspec
import pytest

from hemlockhall_core.connection.message import CallResponse
from hemlockhall_core.process.table import Row
from hemlockhalld.request.claim import Claim, ClaimResult, Claims

pytestmark = pytest.mark.anyio

# Limit on a wait for another task, generous for busy machines.
WAIT_TIMEOUT_S = 20.0


class SlowTable:
    """A table service whose writes of ``k1`` wait until ``go`` is set."""

    def __init__(self) -> None:
        self.rows: list[Row] = []
        self.waiting = anyio.Event()
        self.go = anyio.Event()

    async def commit(self, transaction: object) -> int:
        """Commit; a write of ``k1`` waits."""
        if "k1" in repr(transaction):
            self.waiting.set()
            await self.go.wait()
        return 1

    async def read(self, key: str) -> Row | None:
        """Return the next row; the read of the last one waits."""
        if not self.rows:
            return None
        row = self.rows.pop()
        if not self.rows:
            self.waiting.set()
            await self.go.wait()
        return row


class TestOutcomes:
    async def test_outcome_written_by_two_tasks_does_not_end_the_process(self) -> None:
        """``complete`` writes an outcome while ``run`` waits for another key. ``run``
        then failed on the key that was no longer pending: the side process ended,
        and callers were told that the outcome is not known."""
        table = SlowTable()
        claims = Claims(table, 1)  # type: ignore[arg-type]
        for key in ("k1", "k2"):
            claims._outcomes[key] = ClaimResult(Claim("1-1", "digest"), True, 1)
        async with anyio.create_task_group() as group:
            group.start_soon(claims.run)
            with anyio.fail_after(WAIT_TIMEOUT_S):
                await table.waiting.wait()
                response = CallResponse("r1", 1, 201, [], b"booked")
                await claims.complete("k2", claims._outcomes["k2"], response)
                table.go.set()
                while claims.pending_outcomes():
                    await anyio.sleep(0.005)
            await anyio.sleep(0.01)
            group.cancel_scope.cancel()
        assert claims.pending_outcomes() == 0

    async def test_claim_removed_by_two_tasks_does_not_end_the_process(self) -> None:
        """A claim is removed while another removal reads the same row. The second
        removal failed, which ended the side process."""
        table = SlowTable()
        claims = Claims(table, 1)  # type: ignore[arg-type]
        claim = Claim("1-1", "digest")
        row = Row("k2", msgspec.to_builtins(claim), 1)
        table.rows = [row, row]
        claims._abandon("k2", claim)
        async with anyio.create_task_group() as group:
            with anyio.fail_after(WAIT_TIMEOUT_S):
                await claims._remove_abandoned("k2")
                claims._abandon("k2", claim)
                group.start_soon(claims._remove_abandoned, "k2")
                await table.waiting.wait()
                await claims._remove_abandoned("k2")
                table.go.set()
        assert not claims._abandoned
