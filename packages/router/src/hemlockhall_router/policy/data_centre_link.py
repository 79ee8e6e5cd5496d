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
BURST_PART = 0.25


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
        self._free_at: dict[frozenset[str], float] = {}

    def backlog_s(self, here: str, there: str) -> float:
        """Return for how many seconds a pipe is taken."""
        free_at = self._free_at.get(frozenset((here, there)), 0.0)
        return max(0.0, free_at - self._clock())

    def burst_s(self, model: Model, tokens: int) -> float:
        """Return for how many seconds a pipe is taken by what hosts send together.

        Streams that break together are placed within milliseconds. Their prompts
        would each find the pipe free, and hold up the streams that cross it.
        """
        return transfer_s(model, tokens) * max(1.0, self._hosts() * BURST_PART)

    def record_transfer(self, path: Path, model: Model, tokens: int) -> None:
        """Count the activations of ``tokens`` tokens that a path sends."""
        now = self._clock()
        took_s = transfer_s(model, tokens) * max(1, self._hosts())
        before = path.stages[0].endpoint.data_centre
        for part in path.stages[1:]:
            here = part.endpoint.data_centre
            if here != before:
                pair = frozenset((before, here))
                self._free_at[pair] = max(now, self._free_at.get(pair, 0.0)) + took_s
            before = here


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
