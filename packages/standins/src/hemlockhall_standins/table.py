"""Stand-in for the platform's transactional table service."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import Any

from hemlockhall_standins.web import App, Fault, Faults, Request, Response


@dataclass
class TableFaults(Faults):
    """Limits in calls a second; beyond them the answer is 429.

    With ``stale``, reads show the rows as they were when it was set. With
    ``down_after_write`` the service goes down with its next write.
    """

    writes_per_s: float = 400.0
    reads_per_s: float = 2000.0
    stale: bool = False
    down_after_write: bool = False


@dataclass
class Bucket:
    """A token bucket."""

    tokens: float = 0.0
    at: float = field(default_factory=time.monotonic)

    def take(self, rate: float) -> bool:
        """Take a token, if there is one."""
        now = time.monotonic()
        self.tokens = min(rate, self.tokens + (now - self.at) * rate)
        self.at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class Table:
    """Rows in memory; each has a value and a version."""

    def __init__(self) -> None:
        self.rows: dict[str, tuple[Any, int]] = {}
        self.tally = {"reads": 0, "writes": 0, "limited": 0}
        self.faults = TableFaults()
        self._reads = Bucket(2000.0)
        self._writes = Bucket(400.0)
        self._clock = 0
        self._snapshot: dict[str, tuple[Any, int]] | None = None

    def app(self) -> App:
        """Return the HTTP interface."""
        app = App(self.faults)
        app.route("GET", "/rows")(self._scan)
        app.route("GET", "/rows/(.+)")(self._read)
        app.route("POST", "/transactions")(self._commit)
        app.route("GET", "/tally")(self._tally)
        return app

    def _limit(self, bucket: Bucket, rate: float) -> None:
        if not bucket.take(rate):
            self.tally["limited"] += 1
            raise Fault(Response({"error": "rate"}, 429, {"retry-after": "1"}))

    def _shown(self) -> dict[str, tuple[Any, int]]:
        if not self.faults.stale:
            self._snapshot = None
            return self.rows
        if self._snapshot is None:
            self._snapshot = dict(self.rows)
        return self._snapshot

    async def _read(self, req: Request) -> Response:
        self._limit(self._reads, self.faults.reads_per_s)
        self.tally["reads"] += 1
        key = req.groups[0]
        rows = self._shown()
        if key not in rows:
            return Response({"error": "no row"}, 404)
        value, version = rows[key]
        return Response({"key": key, "value": value, "version": version})

    async def _scan(self, req: Request) -> Response:
        self._limit(self._reads, self.faults.reads_per_s)
        self.tally["reads"] += 1
        prefix = req.query.get("prefix", "")
        keys = sorted((k for k in self.rows if k.startswith(prefix)), reverse=True)
        found = []
        for key in keys[: int(req.query.get("limit", "100"))]:
            value, version = self.rows[key]
            found.append({"key": key, "value": value, "version": version})
        return Response(found)

    async def _commit(self, req: Request) -> Response:
        self._limit(self._writes, self.faults.writes_per_s)
        asked = req.json()
        conflicts = []
        for check in asked["checks"]:
            if self.rows.get(check["key"], (None, 0))[1] != check["version"]:
                conflicts.append(check["key"])
        if conflicts:
            return Response({"conflicts": conflicts}, 409)
        self.tally["writes"] += 1
        self._clock += 1
        self.faults.down |= self.faults.down_after_write
        for put in asked["puts"]:
            self.rows[put["key"]] = (put["value"], self._clock)
        for key in asked["deletes"]:
            self.rows.pop(key, None)
        return Response({"version": self._clock})

    async def _tally(self, req: Request) -> Response:
        return Response(self.tally)


__all__ = [
    "Table",
]
