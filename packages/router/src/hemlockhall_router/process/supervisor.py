"""Background tasks that fail without ending the process."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

import anyio
from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator

    from hemlockhall_router.process.metric import Metrics

# Time until a task that failed begins again. One that always fails writes two lines to
# the log in a second, and costs next to no processor time.
RESTART_DELAY_S = 0.5


class Supervisor:
    """Keeps an error in one task from ending the others, and reports it.

    The error of one background task would end the process, and with it the requests
    of all callers.

    Parameters
    ----------
    metrics : Metrics
        Counts the errors by task.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    async def run(self, name: str, task: Callable[[], Awaitable[None]]) -> None:
        """Run a task until it ends or is cancelled; begin again after an error."""
        while True:
            with self.contain(name):
                await task()
                return
            await anyio.sleep(RESTART_DELAY_S)

    @contextmanager
    def contain(self, name: str, **fields: object) -> Iterator[None]:
        """Report an error in the block, which belongs to the task ``name``, and go on.

        ``fields`` are logged with it.
        """
        try:
            yield
        except Exception as exc:  # noqa: BLE001
            self.report(name, exc, **fields)

    def report(self, name: str, exc: Exception, **fields: object) -> None:
        """Log and count an error in the task ``name``."""
        self._metrics.count("internal_errors", name)
        logger.opt(exception=exc).error(
            "task failed", task=name, cause=f"{exc!r:.200}", **fields
        )


__all__ = [
    "Supervisor",
]
