"""Structured log lines on standard output, bounded and never blocking."""

from __future__ import annotations

import os
import sys
import time
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

if TYPE_CHECKING:
    from loguru import Message

    from hemlockhall_router.process.metric import Metrics

# Lines of one kind in a second, so that logging stays below a tenth of a core.
LINES_PER_S = 40
# A line is written to a pipe whole or not at all up to this size.
LINE_BYTES = 4000


class Sink:
    """Writes records as lines of JSON; drops what would block."""

    def __init__(self, host: str, metrics: Metrics) -> None:
        self._host = host
        self._metrics = metrics
        self._second = 0
        self._counts: dict[str, int] = {}
        self._left_out = 0
        os.set_blocking(sys.stdout.fileno(), False)

    def write(self, message: Message) -> None:
        """Write one record."""
        record = message.record
        kind = record["message"]
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._counts.clear()
        count = self._counts.get(kind, 0) + 1
        self._counts[kind] = count
        if count > LINES_PER_S and record["level"].no < 40:
            self._drop()
            return
        line = {
            "t": record["time"].isoformat(timespec="milliseconds"),
            "level": record["level"].name,
            "host": self._host,
            "event": kind,
            **record["extra"],
        }
        if record["exception"] is not None:
            line["exception"] = str(message)[-1500:]
        if self._left_out:
            line["lines_left_out"] = self._left_out
        data = msgspec.json.encode(line, enc_hook=str)[:LINE_BYTES] + b"\n"
        try:
            os.write(sys.stdout.fileno(), data)
        except OSError:
            # A reader that stands still costs lines, never a request.
            self._drop()
            return
        self._left_out = 0

    def _drop(self) -> None:
        self._left_out += 1
        self._metrics.count("log_lines_left_out", "all")


def configure(host: str, level: str, metrics: Metrics) -> None:
    """Send all records of this process to standard output."""
    logger.remove()
    sink = Sink(host, metrics)
    # ``diagnose`` would print the values of variables, keys among them.
    logger.add(sink.write, level=level, format="{message}", diagnose=False)


__all__ = [
    "configure",
]
