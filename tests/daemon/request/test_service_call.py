"""Tests of a call of a plain service at the entry host, with retries."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import Any

import anyio
import pytest

from hemlockhall_core.connection.message import (
    Call,
    CallRefused,
    CallResponse,
    Header,
)
from hemlockhall_core.process.metric import Metrics
from hemlockhall_core.request.reason import Ran, RefusalReason, RetryReason
from hemlockhall_core.version.document import Endpoint
from hemlockhalld.process.rest import MAX_REST_S, ServiceRests
from hemlockhalld.request.generation import PeerLost
from hemlockhalld.request.problem import Problem
from hemlockhalld.request.service_call import ServiceCall

CALL = Call("r", 0, 0, "parish", "booking", "POST", "/b", "", [], b"", "k", False, 0.0)
READ = Call("r", 0, 0, "parish", "booking", "GET", "/b", "", [], b"", "", True, 0.0)


def endpoint(name: str) -> Endpoint:
    return Endpoint(name, "10.0.0.1:1", "attica-1", "plain", 1.0, "", 0, 0, "booking")


@dataclass
class FakeSide:
    """A side process that calls ``respond`` for a call."""

    respond: Any
    queued: bool = False
    service_call: ServiceCall | None = None
    posted: list[Any] = field(default_factory=list)

    def post(self, message: Any) -> None:
        """Record a message; post the event that responds to a call."""
        self.posted.append(message)
        if isinstance(message, Call) and self.service_call is not None:
            self.service_call.post(self.respond(message))

    def cancel(self, message: Any) -> bool:
        """Cancel a call that is still queued."""
        if not self.queued:
            return False
        self.posted.remove(message)
        return True


@dataclass
class FakeLink:
    """Holds the fake side processes by name."""

    peers: dict[str, FakeSide]

    def peer(self, name: str, address: str) -> FakeSide:
        """Return the side process of that name."""
        return self.peers[name]


def run(
    rests: ServiceRests | None = None, call: Call = CALL, **sides: FakeSide
) -> CallResponse:
    def choose(service: str, avoid: set[str]) -> Endpoint | None:
        remaining = [name for name in sides if name not in avoid]
        return endpoint(remaining[0]) if remaining else None

    async def main() -> CallResponse:
        deadline = time.monotonic() + 9
        link: Any = FakeLink(sides)
        service_call = ServiceCall(
            call,
            deadline,
            link,
            Metrics(),
            lambda: 1,
            choose,
            rests=rests or ServiceRests(),
        )
        for side in sides.values():
            side.service_call = service_call
        try:
            return await service_call.response()
        finally:
            service_call.close()

    return anyio.run(main)


def peer_lost(message: Call) -> PeerLost:
    return PeerLost("a", False)


class TestResponse:
    def test_call_refused_by_a_leaving_endpoint_is_retried(self) -> None:
        def leaving(message: Call) -> CallRefused:
            reason = RetryReason.ENDPOINT_LEAVING.value
            return CallRefused("r", message.attempt, reason, "no", "", 0.0)

        response = run(
            a=FakeSide(leaving),
            b=FakeSide(lambda m: CallResponse("r", m.attempt, 201, [], b"")),
        )
        assert response.status == 201

    def test_queued_call_to_a_lost_endpoint_is_not_executed(self) -> None:
        """The only endpoint dies while the call is still queued. The call is
        cancelled, so that it does not run when the endpoint comes back."""
        side = FakeSide(peer_lost, queued=True)
        with pytest.raises(Problem) as caught:
            run(a=side)
        assert caught.value.reason is RefusalReason.NO_ENDPOINT
        assert caught.value.ran is Ran.NO
        assert side.posted == []

    def test_sent_call_to_a_lost_endpoint_may_have_run(self) -> None:
        with pytest.raises(Problem) as caught:
            run(a=FakeSide(peer_lost))
        assert caught.value.ran is Ran.UNKNOWN

    def test_refusal_after_a_loss_may_have_run(self) -> None:
        """The first endpoint may have run the call, so that the refusal of the
        second must not report it as not executed."""

        def refused(message: Call) -> CallRefused:
            reason = RefusalReason.STORE_UNAVAILABLE.value
            return CallRefused("r", message.attempt, reason, "no", "", 1.0)

        with pytest.raises(Problem) as caught:
            run(a=FakeSide(peer_lost), b=FakeSide(refused))
        assert caught.value.reason is RefusalReason.STORE_UNAVAILABLE
        assert caught.value.ran is Ran.UNKNOWN


def unavailable(message: Call, retry_after: str) -> CallResponse:
    headers = [Header("retry-after", retry_after)]
    return CallResponse("r", message.attempt, 503, headers, b"")


def accepted(message: Call) -> CallResponse:
    return CallResponse("r", message.attempt, 201, [], b"")


class TestRest:
    def test_a_service_that_asks_for_rest_gets_no_call(self) -> None:
        """Guards against entry hosts that keep sending calls to a service that
        answered 503 with Retry-After while another endpoint is idle."""
        rests = ServiceRests()
        resting = FakeSide(lambda m: unavailable(m, "30"))
        assert run(rests, READ, a=resting).status == 503
        for _ in range(5):
            assert run(rests, READ, a=resting, b=FakeSide(accepted)).status == 201
        assert len(resting.posted) == 1

    def test_without_another_endpoint_the_caller_is_told_the_time(self) -> None:
        """Guards against callers that come back while the only service rests."""
        rests = ServiceRests()
        resting = FakeSide(lambda m: unavailable(m, "30"))
        run(rests, READ, a=resting)
        with pytest.raises(Problem) as caught:
            run(rests, READ, a=resting)
        assert caught.value.reason is RefusalReason.NO_ENDPOINT
        assert caught.value.ran is Ran.NO
        assert 20 < (caught.value.retry_after or 0) <= 30
        assert len(resting.posted) == 1

    @pytest.mark.parametrize("value", ["soon", "", "-1", "nan", "inf", "0"])
    def test_other_values_ask_for_none(self, value: str) -> None:
        rests = ServiceRests()
        side = FakeSide(lambda m: unavailable(m, value))
        run(rests, READ, a=side)
        assert run(rests, READ, a=side).status == 503
        assert len(side.posted) == 2

    def test_it_is_bounded(self) -> None:
        """Guards against a service that is left out for hours by one response."""
        rests = ServiceRests()
        run(rests, READ, a=FakeSide(lambda m: unavailable(m, "31536000")))
        assert 0 < rests.remaining_s("a") <= MAX_REST_S

    def test_the_stored_response_to_a_keyed_call_asks_for_none(self) -> None:
        """Guards against a rest that begins anew with each repeat of a call."""
        rests = ServiceRests()
        run(rests, a=FakeSide(lambda m: unavailable(m, "30")))
        assert rests.resting() == frozenset()
