"""Simulated transactional table service of the platform."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import Any

from hemlockhall_standins.web import App, Faults, Request, Response, ResponseError


@dataclass
class TableFaults(Faults):
    """Rate limits in calls per second, beyond which the response is 429.

    With ``stale``, reads of single rows return them as they were at the first such
    read. With ``down_after_write``, the service goes down with its next write.
    """

    writes_per_s: float = 400.0
    reads_per_s: float = 2000.0
    stale: bool = False
    down_after_write: bool = False


@dataclass
class TokenBucket:
    """Token bucket that holds at most one second of tokens."""

    tokens: float = 0.0
    refilled_at: float = field(default_factory=time.monotonic)

    def try_acquire(self, rate_per_s: float) -> bool:
        """Refill at a rate and take a token; return False if there is none."""
        now = time.monotonic()
        self.tokens = min(
            rate_per_s, self.tokens + (now - self.refilled_at) * rate_per_s
        )
        self.refilled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class Table:
    """Rows in memory, each a value with the version of its last write."""

    def __init__(self) -> None:
        self.rows: dict[str, tuple[Any, int]] = {}
        self.tally = {"reads": 0, "writes": 0, "limited": 0}
        self.faults = TableFaults()
        self._reads = TokenBucket(2000.0)
        self._writes = TokenBucket(400.0)
        self._last_version = 0
        self._snapshot: dict[str, tuple[Any, int]] | None = None

    def app(self) -> App:
        """Return the HTTP interface."""
        app = App(self.faults)
        app.route("GET", "/rows")(self._scan)
        app.route("GET", "/rows/(.+)")(self._read)
        app.route("POST", "/transactions")(self._commit)
        app.route("GET", "/tally")(self._tally)
        return app

    def _check_rate(self, bucket: TokenBucket, rate_per_s: float) -> None:
        if not bucket.try_acquire(rate_per_s):
            self.tally["limited"] += 1
            raise ResponseError(Response({"error": "rate"}, 429, {"retry-after": "1"}))

    def _visible_rows(self) -> dict[str, tuple[Any, int]]:
        if not self.faults.stale:
            self._snapshot = None
            return self.rows
        if self._snapshot is None:
            self._snapshot = dict(self.rows)
        return self._snapshot

    async def _read(self, req: Request) -> Response:
        self._check_rate(self._reads, self.faults.reads_per_s)
        self.tally["reads"] += 1
        key = req.groups[0]
        rows = self._visible_rows()
        if key not in rows:
            return Response({"error": "no row"}, 404)
        value, version = rows[key]
        return Response({"key": key, "value": value, "version": version})

    async def _scan(self, req: Request) -> Response:
        self._check_rate(self._reads, self.faults.reads_per_s)
        self.tally["reads"] += 1
        prefix = req.query.get("prefix", "")
        keys = sorted((k for k in self.rows if k.startswith(prefix)), reverse=True)
        found = []
        for key in keys[: int(req.query.get("limit", "100"))]:
            value, version = self.rows[key]
            found.append({"key": key, "value": value, "version": version})
        return Response(found)

    async def _commit(self, req: Request) -> Response:
        self._check_rate(self._writes, self.faults.writes_per_s)
        body = req.json()
        conflicts = []
        for check in body["checks"]:
            if self.rows.get(check["key"], (None, 0))[1] != check["version"]:
                conflicts.append(check["key"])
        if conflicts:
            return Response({"conflicts": conflicts}, 409)
        self.tally["writes"] += 1
        self._last_version += 1
        self.faults.down |= self.faults.down_after_write
        for put in body["puts"]:
            self.rows[put["key"]] = (put["value"], self._last_version)
        for key in body["deletes"]:
            self.rows.pop(key, None)
        return Response({"version": self._last_version})

    async def _tally(self, req: Request) -> Response:
        return Response(self.tally)


__all__ = [
    "Table",
]
