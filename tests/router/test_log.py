"""Log lines: bounded, and never in the way of a request."""

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
    """Make a small pipe standard output; yield the end to read from."""
    reading, writing = os.pipe()
    fcntl.fcntl(writing, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
    with os.fdopen(writing, "w") as output, redirect_stdout(output):
        yield reading
    os.close(reading)


class TestSink:
    def test_a_reader_that_stands_still_costs_lines_only(self) -> None:
        """Nobody reads the host's output. The pipe fills up, and a line that
        waited for room would stop every request; it is left out and counted,
        and the first line that fits again tells how many were."""
        metrics = Metrics()
        with pipe_as_output() as pipe:
            sink = logger.add(JsonSink("h1", metrics).write, level="DEBUG")
            for number in range(MAX_LINES_PER_S * 4):
                logger.info(f"kind {number % 8}", text="x" * 100)
            left_out = left_out_lines(metrics)
            assert left_out > 0
            os.read(pipe, PIPE_BYTES)
            logger.error("room again")
            logger.remove(sink)
            last = os.read(pipe, PIPE_BYTES).splitlines()[-1]
        assert json.loads(last)["lines_left_out"] == left_out

    def test_lines_of_a_kind_are_bounded(self) -> None:
        """One kind of event comes more often than its share of lines. The rest
        is counted: logging must not take the processor from requests."""
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
        # The share starts anew when a second begins; it does so once at most.
        assert written <= MAX_LINES_PER_S * 2
        assert written + left_out_lines(metrics) == MAX_LINES_PER_S * 3


def left_out_lines(metrics: Metrics) -> int:
    """Return the counter of lines that were left out."""
    for line in metrics.render().decode().splitlines():
        if line.startswith("hemlockhall_log_lines_left_out_total"):
            return int(float(line.split()[-1]))
    raise AssertionError("no counter")
