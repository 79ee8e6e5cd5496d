"""Log lines are rate-limited and never block a request."""

from __future__ import annotations

import fcntl
import json
import os
from collections.abc import Iterator
from contextlib import contextmanager, redirect_stdout, suppress

from loguru import logger

from hemlockhall_router.process.log import MAX_LINES_PER_S, JsonSink
from hemlockhall_router.process.metric import Metrics

PIPE_BYTES = 4096


@contextmanager
def pipe_as_output() -> Iterator[int]:
    """Redirect standard output to a small pipe; yield the end to read from."""
    reading, writing = os.pipe()
    fcntl.fcntl(writing, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
    with os.fdopen(writing, "w") as output, redirect_stdout(output):
        yield reading
    os.close(reading)


class TestJsonSink:
    def test_a_stalled_reader_does_not_block_writes(self) -> None:
        """Nobody reads the output, and the pipe fills up. A blocking write would
        stop every request: lines are dropped and counted instead, and the next
        line that fits states the count."""
        metrics = Metrics()
        with pipe_as_output() as pipe:
            sink = logger.add(JsonSink("h1", metrics).write, level="DEBUG")
            for number in range(MAX_LINES_PER_S * 4):
                logger.info(f"kind {number % 8}", text="x" * 100)
            dropped = dropped_lines(metrics)
            assert dropped > 0
            os.read(pipe, PIPE_BYTES)
            logger.error("room again")
            logger.remove(sink)
            last = os.read(pipe, PIPE_BYTES).splitlines()[-1]
        assert json.loads(last)["lines_left_out"] == dropped

    def test_lines_of_one_event_are_rate_limited(self) -> None:
        """A frequent event must not take CPU time from requests: lines beyond the
        limit are dropped and counted."""
        metrics = Metrics()
        written = 0
        with pipe_as_output() as pipe:
            os.set_blocking(pipe, False)
            sink = logger.add(JsonSink("h1", metrics).write, level="DEBUG")
            for _ in range(MAX_LINES_PER_S * 3):
                logger.info("same")
                with suppress(BlockingIOError):
                    written += len(os.read(pipe, PIPE_BYTES).splitlines())
            logger.remove(sink)
        # The limit is per second, and at most one second boundary is crossed.
        assert written <= MAX_LINES_PER_S * 2
        assert written + dropped_lines(metrics) == MAX_LINES_PER_S * 3


def dropped_lines(metrics: Metrics) -> int:
    """Return the counter of dropped lines."""
    for line in metrics.render().decode().splitlines():
        if line.startswith("hemlockhall_log_lines_left_out_total"):
            return int(float(line.split()[-1]))
    raise AssertionError("counter log_lines_left_out not found")
