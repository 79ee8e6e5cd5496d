"""Tests of two links of which one removes a peer and contacts it again."""

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

# Long enough for a busy machine.
WAIT_S = 20.0


@dataclass
class Inbox(Handler):
    """Records the received messages."""

    messages: list[AnyMessage] = field(default_factory=list)

    def on_message(self, peer: Peer, message: AnyMessage) -> None:
        """Record a message."""
        self.messages.append(message)

    def on_lost(self, peer: Peer, *, restarted: bool) -> None:
        """Ignore the loss of a peer."""

    def on_version(self, peer: Peer, version: int) -> None:
        """Ignore the version of the document."""


def make_link(name: str) -> tuple[Link, Inbox]:
    inbox = Inbox()
    address = f"127.0.0.1:{free_port()}"
    return Link(name, address, address, inbox, Metrics(), Timing()), inbox


async def wait_until(condition) -> None:  # noqa: ANN001
    with anyio.fail_after(WAIT_S):
        while not condition():
            await anyio.sleep(0.005)


class TestRemovePeer:
    async def test_messages_arrive_after_a_peer_was_removed_and_returned(self) -> None:
        """An entry host that is replaced while the store is down has no document, so
        it removes each endpoint and contacts it again at its next heartbeat. If only
        its own sequence numbers restart, the endpoint drops its messages as repeats
        and its replies are behind a gap: a request is sent and never answered."""
        host, host_inbox = make_link("entry-1")
        endpoint, endpoint_inbox = make_link("a1")
        async with anyio.create_task_group() as group:
            await group.start(host.run)
            await group.start(endpoint.run)
            host.peer("a1", endpoint.address).post(Close("r1", 1))
            await wait_until(lambda: len(endpoint_inbox.messages) == 1)
            endpoint.peers["entry-1"].post(Close("r1", 1))
            await wait_until(lambda: len(host_inbox.messages) == 1)
            host.remove_peer("a1")
            host.peer("a1", endpoint.address).post(Close("r2", 1))
            await wait_until(lambda: len(endpoint_inbox.messages) == 2)
            endpoint.peers["entry-1"].post(Close("r2", 1))
            await wait_until(lambda: len(host_inbox.messages) == 2)
            group.cancel_scope.cancel()
        assert endpoint_inbox.messages == [Close("r1", 1), Close("r2", 1)]
        assert host_inbox.messages == [Close("r1", 1), Close("r2", 1)]
