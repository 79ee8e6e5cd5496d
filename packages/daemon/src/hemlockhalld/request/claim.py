"""At-most-once calls by claims of idempotency keys in the table service.

Before a non-idempotent call the side process inserts a row under the caller's
key. The insert succeeds only once, so only one of the side processes that
receive the call makes it. The row then stores the outcome. A claim never
expires: a later holder could not know whether the first one made the call.
"""

from __future__ import annotations

import base64
import hashlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio
import msgspec
from loguru import logger

from hemlockhall_core.connection.message import Header
from hemlockhall_core.process.error import (
    PlatformError,
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from hemlockhall_core.process.table import Check, Put, Transaction

if TYPE_CHECKING:
    from hemlockhall_core.connection.message import Call, CallResponse
    from hemlockhall_core.process.table import Row, Table

# Limit on the inserts of a claim, each followed by a read if it fails.
MAX_CLAIM_ATTEMPTS = 3
WRITE_RETRY_INTERVAL_S = 0.5
CLAIM_KEY_PREFIX = "calls/"


class Claim(msgspec.Struct):
    """Value of a claim row.

    ``holder`` identifies the claim, ``digest`` the call, and the other fields
    are the outcome, valid once ``done`` is set; ``body`` is base64.
    """

    holder: str
    digest: str
    done: bool = False
    status: int = 0
    headers: list[Header] = []
    body: str = ""


def claim_key(call: Call) -> str:
    """Return the row key, which is separate for each customer and service."""
    key_sha256 = hashlib.sha256(call.key.encode()).hexdigest()
    return f"{CLAIM_KEY_PREFIX}{call.customer}/{call.service}/{key_sha256}"


def call_digest(call: Call) -> str:
    """Return the SHA-256 of the method, path, query and body of a call."""
    parts = (call.method, call.path, call.query)
    value = hashlib.sha256("\n".join(parts).encode())
    value.update(call.body)
    return value.hexdigest()


@dataclass
class ClaimResult:
    """The claim of a key; ``owned`` if this call made it just now."""

    claim: Claim
    owned: bool
    row_version: int


class Claims:
    """Acquires, releases and completes the claims of one side process."""

    def __init__(self, table: Table, boot: int) -> None:
        self._table = table
        self._boot = boot
        self._claim_count = 0
        self._abandoned: dict[str, set[str]] = {}
        self._outcomes: dict[str, ClaimResult] = {}

    async def acquire(self, key: str, digest: str) -> ClaimResult:
        """Claim a key, or return the claim that already exists.

        Raises :class:`StoreUnavailableError` if it is not certain that the key
        was claimed; then the call must not be made.
        """
        self._claim_count += 1
        claim = Claim(f"{self._boot}-{self._claim_count}", digest)
        value = msgspec.to_builtins(claim)
        insert = Transaction([Check(key, 0)], [Put(key, value)])
        for _ in range(MAX_CLAIM_ATTEMPTS):
            try:
                version = await self._table.commit(insert)
                return ClaimResult(claim, True, version)
            except (StoreConflictError, StoreOutcomeUnknownError):
                result = await self._read_back(key, claim)
            if result is not None:
                return result
        self._abandon(key, claim)
        raise StoreUnavailableError("the claim could not be settled", 1.0)

    async def _read_back(self, key: str, claim: Claim) -> ClaimResult | None:
        """Read the holder of the key after a lost response or a conflict."""
        try:
            row = await self._table.read(key)
            if row is None:
                return None
            existing = row.decode(Claim)
            if existing.holder in self._abandoned.get(key, ()):
                await self._delete_row(key, row)
                return None
        except PlatformError as exc:
            # The insert may have taken effect, or may do so later. The call is
            # not made, and the row is removed when the store responds again, so
            # that "not executed" stays true and the caller's retry can run.
            self._abandon(key, claim)
            raise StoreUnavailableError("the claim could not be read", 1.0) from exc
        return ClaimResult(existing, existing.holder == claim.holder, row.version)

    async def read(self, key: str) -> Claim | None:
        """Return the claim of a key, or None."""
        row = await self._table.read(key)
        return row.decode(Claim) if row else None

    async def release(self, key: str, claim: Claim) -> None:
        """Release the key of a call that was not made."""
        self._abandon(key, claim)
        await self._remove_abandoned(key)

    async def complete(
        self, key: str, result: ClaimResult, response: CallResponse
    ) -> None:
        """Write the outcome; kept in memory while the store is unavailable."""
        claim = result.claim
        claim.done = True
        claim.status = response.status
        claim.headers = response.headers
        claim.body = base64.b64encode(response.body).decode()
        self._outcomes[key] = result
        await self._write_outcome(key)

    async def run(self) -> None:
        """Retry unwritten outcomes and removals until cancelled."""
        while True:
            await anyio.sleep(WRITE_RETRY_INTERVAL_S)
            for key in list(self._outcomes):
                await self._write_outcome(key)
            for key in list(self._abandoned):
                await self._remove_abandoned(key)

    def pending_outcomes(self) -> int:
        """Return the number of outcomes not yet written to the store."""
        return len(self._outcomes)

    async def _write_outcome(self, key: str) -> None:
        result = self._outcomes.get(key)
        if result is None:
            # ``complete`` and ``run`` may handle the same key concurrently, and
            # the other one has written it.
            return
        value = msgspec.to_builtins(result.claim)
        write = Transaction([Check(key, result.row_version)], [Put(key, value)])
        try:
            await self._table.commit(write)
        except StoreConflictError:
            # Only the holder writes to its claim, so an earlier write whose
            # response was lost has taken effect.
            logger.bind(key=key).info("outcome already written")
        except PlatformError:
            return
        self._outcomes.pop(key, None)

    async def _remove_abandoned(self, key: str) -> None:
        try:
            row = await self._table.read(key)
            if row is not None:
                existing = row.decode(Claim)
                if existing.holder in self._abandoned.get(key, ()):
                    await self._delete_row(key, row)
        except PlatformError:
            return
        self._abandoned.pop(key, None)

    async def _delete_row(self, key: str, row: Row) -> None:
        transaction = Transaction([Check(key, row.version)], [], [key])
        await self._table.commit(transaction)

    def _abandon(self, key: str, claim: Claim) -> None:
        self._abandoned.setdefault(key, set()).add(claim.holder)


__all__ = [
    "Claim",
    "ClaimResult",
    "Claims",
    "call_digest",
    "claim_key",
]
