"""Failures of the router's background tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from hemlockhall_router.process.metric import Metrics


class Supervisor:
    """Runs background tasks, and reports those that fail.

    Parameters
    ----------
    metrics : Metrics
        Counts the failures by task.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    async def run(self, name: str, task: Callable[[], Awaitable[None]]) -> None:
        """Run a task until it ends or is cancelled."""
        try:
            await task()
        except Exception as exc:
            self.report(name, exc)
            raise

    def report(self, name: str, exc: Exception, **fields: object) -> None:
        """Log and count a failure of the task ``name``."""
        self._metrics.count("internal_errors", name)
        logger.opt(exception=exc).error(
            "task failed", task=name, cause=f"{exc!r:.200}", **fields
        )


__all__ = [
    "Supervisor",
]
