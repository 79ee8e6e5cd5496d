"""Which requests a host accepts while it shuts down."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Shutdown:
    """The times of a shutdown, all monotonic.

    Until ``accept_until`` the load balancer still sends new connections here, and
    requests are accepted that are expected to be done by ``exit_at``. After that one is
    accepted only if its own time limit ends before: no estimate bounds the time that a
    request takes, and one that is refused can run at another host, while one that is
    cut off may have run. Once the host is ``closing``, none is accepted.
    """

    accept_until: float = float("inf")
    exit_at: float = float("inf")
    closing: bool = False

    @property
    def begun(self) -> bool:
        """Whether the host is shutting down."""
        return self.exit_at != float("inf")

    def accepts(self, now: float, expected_s: float, deadline: float) -> bool:
        """Return whether to accept a request at the time ``now``.

        It is expected to take ``expected_s`` seconds, and is given up at ``deadline``.
        """
        if self.closing:
            return False
        if now <= self.accept_until:
            return now + expected_s <= self.exit_at
        return deadline <= self.exit_at


__all__ = [
    "Shutdown",
]
