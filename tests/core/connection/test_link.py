"""Links of two processes that forget each other and meet again."""

from __future__ import annotations

from dataclasses import dataclass, field

import anyio
import pytest

from hemlockhall_core.connection.link import Handler, Link
from hemlockhall_core.connection.message import AnyMessage, Close
from hemlockhall_core.connection.peer import Peer, Timing
from hemlockhall_core.process.metric import Metrics
from hemlockhall_standins.router.harness import free_port

pytestmark = pytest.mark.anyio

# Seconds a test waits for what must happen; generous for busy machines.
WAIT_S = 20.0


@dataclass
class Inbox(Handler):
    """Keeps what arrives."""

    messages: list[AnyMessage] = field(default_factory=list)

    def on_message(self, peer: Peer, message: AnyMessage) -> None:
        """Keep a message."""
        self.messages.append(message)

    def on_lost(self, peer: Peer, *, restarted: bool) -> None:
        """Nothing runs here."""

    def on_version(self, peer: Peer, version: int) -> None:
        """There is no document."""


def make_link(name: str) -> tuple[Link, Inbox]:
    inbox = Inbox()
    address = f"127.0.0.1:{free_port()}"
    return Link(name, address, address, inbox, Metrics(), Timing()), inbox


async def until(done) -> None:  # noqa: ANN001
    with anyio.fail_after(WAIT_S):
        while not done():
            await anyio.sleep(0.005)


class TestForgetting:
    async def test_a_forgotten_peer_is_met_anew(self) -> None:
        """An entry host is replaced while the store is down. Until it has the
        document it knows no endpoint, so it forgets each one that it heard and
        meets it again with the next heartbeat. Its numbering began anew, the
        endpoint's did not: the endpoint took the next messages for repeats and
        acknowledged them, and its own stayed behind a gap. The caller's request
        was sent and never answered."""
        host, at_host = make_link("entry-1")
        endpoint, at_endpoint = make_link("a1")
        async with anyio.create_task_group() as group:
            await group.start(host.run)
            await group.start(endpoint.run)
            host.peer("a1", endpoint.address).post(Close("r1", 1))
            await until(lambda: len(at_endpoint.messages) == 1)
            endpoint.peers["entry-1"].post(Close("r1", 1))
            await until(lambda: len(at_host.messages) == 1)
            host.remove_peer("a1")
            host.peer("a1", endpoint.address).post(Close("r2", 1))
            await until(lambda: len(at_endpoint.messages) == 2)
            endpoint.peers["entry-1"].post(Close("r2", 1))
            await until(lambda: len(at_host.messages) == 2)
            group.cancel_scope.cancel()
        assert at_endpoint.messages == [Close("r1", 1), Close("r2", 1)]
        assert at_host.messages == [Close("r1", 1), Close("r2", 1)]
