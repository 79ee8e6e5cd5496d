"""The pipes between data centres, and how long activations wait for them."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from hemlockhall_router.version.path import Path
    from hemlockhall_router.version.routing import Model


# Part of the hosts that share a pipe which may choose it at the same moment: those
# whose streams broke together, before any of them counts what the others send.
BURST_FRACTION = 0.25


class DataCentreLinks:
    """What this host sends through the pipes, as a backlog in seconds.

    All hosts share a pipe, and none sees what the others send. Each therefore
    counts as if all of them sent what it sends: its own transfers take as many
    times longer as there are hosts. Together they stay below what the pipe
    carries, without a message. Symptom without it: in the failure of a data
    centre's copy each host sends its prompts through the others, the pipes
    fill, and every stream on them is late.

    Parameters
    ----------
    hosts : callable
        Returns the number of hosts that share the pipes.
    clock : callable
        Returns the time in seconds.
    """

    def __init__(
        self, hosts: Callable[[], int], clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._hosts = hosts
        self._clock = clock
        self._busy_until: dict[frozenset[str], float] = {}

    def backlog_s(self, source: str, destination: str) -> float:
        """Return for how many seconds a pipe is taken."""
        busy_until = self._busy_until.get(frozenset((source, destination)), 0.0)
        return max(0.0, busy_until - self._clock())

    def burst_s(self, model: Model, tokens: int) -> float:
        """Return for how many seconds a pipe is taken by what hosts send together.

        Streams that break together are placed within milliseconds. Their prompts
        would each find the pipe free, and hold up the streams that cross it.
        """
        return transfer_s(model, tokens) * max(1.0, self._hosts() * BURST_FRACTION)

    def record_transfer(self, path: Path, model: Model, tokens: int) -> None:
        """Count the activations of ``tokens`` tokens that a path sends."""
        now = self._clock()
        duration_s = transfer_s(model, tokens) * max(1, self._hosts())
        source = path.stages[0].endpoint.data_centre
        for stage in path.stages[1:]:
            destination = stage.endpoint.data_centre
            if destination != source:
                pair = frozenset((source, destination))
                self._busy_until[pair] = (
                    max(now, self._busy_until.get(pair, 0.0)) + duration_s
                )
            source = destination


def transfer_s(model: Model, tokens: int) -> float:
    """Return the seconds for which a prompt's activations take a pipe."""
    if not model.data_centre_link_mbps:
        return 0.0
    return (
        tokens
        * model.activation_bytes_per_token
        * 8
        / (model.data_centre_link_mbps * 1e6)
    )


__all__ = [
    "DataCentreLinks",
    "transfer_s",
]
