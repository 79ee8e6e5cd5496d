"""Which requests a host accepts while it shuts down."""

from __future__ import annotations

from dataclasses import dataclass

# Retry-After while other hosts of the data centre stay: the retry reaches one of them.
RETRY_AFTER_OTHERS_S = 0.1
# Time for this host to start again after its exit.
START_S = 1.0


@dataclass(slots=True)
class Shutdown:
    """The times of a shutdown, all monotonic.

    A request is accepted if its own time limit ends before ``exit_at``. Until
    ``accept_until`` the load balancer still sends new connections here, and one is also
    accepted if it is expected to be done by then. After that no estimate counts: it
    bounds no time that a request takes, and one that is refused can run at another
    host, while one that is cut off may have run. Once the host is ``closing``, none is
    accepted.
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

        It is expected to take ``expected_s`` seconds, infinity if nothing is known of
        that, and is given up at ``deadline``.
        """
        if self.closing:
            return False
        if deadline <= self.exit_at:
            return True
        return now <= self.accept_until and now + expected_s <= self.exit_at

    def retry_after_s(self, now: float, *, others_stay: bool) -> float:
        """Return the seconds after which a caller that is refused should come back.

        Unless ``others_stay``, the load balancer sends callers to the hosts that shut
        down as well, and a retry would be refused again until they are back.
        """
        if others_stay:
            return RETRY_AFTER_OTHERS_S
        return max(0.0, self.exit_at - now) + START_S


__all__ = [
    "Shutdown",
]
