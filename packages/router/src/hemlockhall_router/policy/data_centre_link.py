"""Estimated backlog of the links between data centres."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from hemlockhall_router.version.path import Path
    from hemlockhall_router.version.routing import Model


# Fraction of the hosts that share a link that are assumed to use it at the same moment,
# as they do when streams of many hosts break together.
BURST_FRACTION = 0.25


class DataCentreLinks:
    """Backlog of data centre links from the transfers of this host, in seconds.

    All hosts share a link and none sees the transfers of the others. Each assumes that
    all of them send as much as it does, and multiplies the duration of its own
    transfers by the number of hosts. The hosts thus stay within the bandwidth together
    without exchanging messages. Otherwise, when a data centre loses layers of its copy
    of the model, each host sends its prompts to other data centres, the links saturate
    and every stream that crosses them is late.

    Parameters
    ----------
    hosts : callable
        Returns the number of hosts that share the links.
    clock : callable
        Returns a monotonic time in seconds.
    """

    def __init__(
        self, hosts: Callable[[], int], clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._hosts = hosts
        self._clock = clock
        self._occupied_until: dict[frozenset[str], float] = {}

    def backlog_s(self, source: str, destination: str) -> float:
        """Return the seconds until a link is not occupied, whatever the direction."""
        occupied_until = self._occupied_until.get(frozenset((source, destination)), 0.0)
        return max(0.0, occupied_until - self._clock())

    def burst_s(self, model: Model, tokens: int) -> float:
        """Return the seconds for which hosts that send at once occupy a link.

        The chooser adds them to the backlog. Streams that break together get new paths
        within milliseconds. Each would find the link without a backlog, and their
        prompts would delay the streams that cross it.
        """
        return transfer_s(model, tokens) * max(1.0, self._hosts() * BURST_FRACTION)

    def record_transfer(self, path: Path, model: Model, tokens: int) -> None:
        """Add the activations of ``tokens`` tokens to the links that a path crosses."""
        now = self._clock()
        duration_s = transfer_s(model, tokens) * max(1, self._hosts())
        source = path.stages[0].endpoint.data_centre
        for stage in path.stages[1:]:
            destination = stage.endpoint.data_centre
            if destination != source:
                pair = frozenset((source, destination))
                self._occupied_until[pair] = (
                    max(now, self._occupied_until.get(pair, 0.0)) + duration_s
                )
            source = destination


def transfer_s(model: Model, tokens: int) -> float:
    """Return the seconds for which the activations of ``tokens`` tokens occupy a link.

    0 if the model states no bandwidth.
    """
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
