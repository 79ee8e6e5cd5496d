"""Tests of a call of a plain service at the entry host."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import Any

import anyio
import pytest

from hemlockhall_core.connection.message import Call, CallRefused, CallResponse
from hemlockhall_core.process.metric import Metrics
from hemlockhall_core.request.reason import Ran, RefusalReason, RetryReason
from hemlockhall_core.version.document import Endpoint
from hemlockhalld.request.generation import PeerLost
from hemlockhalld.request.problem import Problem
from hemlockhalld.request.service_call import ServiceCall

CALL = Call("r", 0, 0, "parish", "booking", "POST", "/b", "", [], b"", "k", False, 0.0)


def endpoint(name: str) -> Endpoint:
    return Endpoint(name, "10.0.0.1:1", "attica-1", "plain", 1.0, "", 0, 0, "booking")


@dataclass
class FakeSide:
    """A side process: what it answers, and whether a call was sent yet."""

    news: Any
    waits: bool = False
    service_call: ServiceCall | None = None
    posted: list[Any] = field(default_factory=list)

    def post(self, message: Any) -> None:
        """Answer a call."""
        self.posted.append(message)
        if isinstance(message, Call) and self.service_call is not None:
            self.service_call.post(self.news(message))

    def cancel(self, message: Any) -> bool:
        """Take a call back if it was not sent."""
        if not self.waits:
            return False
        self.posted.remove(message)
        return True


@dataclass
class FakeLink:
    """Side processes by name."""

    peers: dict[str, FakeSide]

    def peer(self, name: str, address: str) -> FakeSide:
        """Return a side process."""
        return self.peers[name]


def run(**sides: FakeSide) -> CallResponse:
    def choose(service: str, avoid: set[str]) -> Endpoint | None:
        left = [name for name in sides if name not in avoid]
        return endpoint(left[0]) if left else None

    async def main() -> CallResponse:
        deadline = time.monotonic() + 9
        link: Any = FakeLink(sides)
        service_call = ServiceCall(CALL, deadline, link, Metrics(), lambda: 1, choose)
        for side in sides.values():
            side.service_call = service_call
        try:
            return await service_call.response()
        finally:
            service_call.close()

    return anyio.run(main)


def lost(message: Call) -> PeerLost:
    return PeerLost("a", False)


class TestAnswer:
    def test_a_leaving_endpoint_passes_the_call_on(self) -> None:
        def leaving(message: Call) -> CallRefused:
            word = RetryReason.ENDPOINT_LEAVING.value
            return CallRefused("r", message.attempt, word, "no", "", 0.0)

        answer = run(
            a=FakeSide(leaving),
            b=FakeSide(lambda m: CallResponse("r", m.attempt, 201, [], b"")),
        )
        assert answer.status == 201

    # The only endpoint dies before the call left this process. The call is
    # taken back: it can run neither now nor when the endpoint is back.
    def test_not_sent_is_not_run(self) -> None:
        side = FakeSide(lost, waits=True)
        with pytest.raises(Problem) as caught:
            run(a=side)
        assert caught.value.reason is RefusalReason.NO_ENDPOINT
        assert caught.value.ran is Ran.NO
        assert side.posted == []

    def test_sent_and_lost_is_unknown(self) -> None:
        with pytest.raises(Problem) as caught:
            run(a=FakeSide(lost))
        assert caught.value.ran is Ran.UNKNOWN

    # The first endpoint may have run the call; the second did not. Together
    # that is unknown, whatever the second says.
    def test_a_refusal_after_a_loss_stays_unknown(self) -> None:
        def refused(message: Call) -> CallRefused:
            word = RefusalReason.STORE_UNAVAILABLE.value
            return CallRefused("r", message.attempt, word, "no", "", 1.0)

        with pytest.raises(Problem) as caught:
            run(a=FakeSide(lost), b=FakeSide(refused))
        assert caught.value.reason is RefusalReason.STORE_UNAVAILABLE
        assert caught.value.ran is Ran.UNKNOWN
