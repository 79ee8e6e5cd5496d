"""Structured log lines on standard output, rate-limited and non-blocking."""

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

# Per event name, errors excepted; keeps logging below a tenth of a core.
MAX_LINES_PER_S = 40
# Writes of up to PIPE_BUF (4096) bytes to a pipe are atomic.
MAX_LINE_BYTES = 4000


class JsonSink:
    """Writes records as lines of JSON.

    Records over ``MAX_LINES_PER_S`` and those whose write would block are dropped. A
    line over ``MAX_LINE_BYTES`` is cut, and is then not valid JSON. Of an exception's
    text the end is kept.
    """

    def __init__(self, host: str, metrics: Metrics) -> None:
        self._host = host
        self._metrics = metrics
        self._second = 0
        self._counts: dict[str, int] = {}
        self._dropped = 0
        os.set_blocking(sys.stdout.fileno(), False)

    def write(self, message: Message) -> None:
        """Write one record."""
        record = message.record
        event = record["message"]
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._counts.clear()
        count = self._counts.get(event, 0) + 1
        self._counts[event] = count
        # 40 is the number of the level ERROR.
        if count > MAX_LINES_PER_S and record["level"].no < 40:
            self._count_dropped()
            return
        line = {
            "t": record["time"].isoformat(timespec="milliseconds"),
            "level": record["level"].name,
            "host": self._host,
            "event": event,
            **record["extra"],
        }
        if record["exception"] is not None:
            line["exception"] = str(message)[-1500:]
        if self._dropped:
            line["lines_left_out"] = self._dropped
        data = msgspec.json.encode(line, enc_hook=str)[:MAX_LINE_BYTES] + b"\n"
        try:
            os.write(sys.stdout.fileno(), data)
        except OSError:
            # A stalled reader of the pipe must not block requests.
            self._count_dropped()
            return
        self._dropped = 0

    def _count_dropped(self) -> None:
        self._dropped += 1
        self._metrics.count("log_lines_left_out", "all")


def configure(host: str, level: str, metrics: Metrics) -> None:
    """Send all records of this process to standard output."""
    logger.remove()
    sink = JsonSink(host, metrics)
    # ``diagnose`` prints the values of variables, which may be API keys.
    logger.add(sink.write, level=level, format="{message}", diagnose=False)


__all__ = [
    "configure",
]
