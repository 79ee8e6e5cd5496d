"""Rest that endpoints ask for, over whole routers in virtual time."""

from __future__ import annotations

import random
import time
from typing import Any

import anyio
import pytest

from hemlockhall_router.connection.client import ClientConnection
from hemlockhall_router.connection.message import Response
from hemlockhall_router.policy.rest import MAX_EXTENSION_FRACTION
from hemlockhall_router.process.directory import INITIAL_LATENCY_S, EndpointRecord
from hemlockhall_router.process.prober import CallWithheldError
from hemlockhall_router.process.statement import CALLER_SPREAD_S
from hemlockhall_router.process.store import Table
from hemlockhall_router.version.endpoint import Endpoint, EndpointStatement
from hemlockhall_standins.router.dialect import RouteRow
from hemlockhall_standins.router.endpoint import (
    ReceivedRequest,
    RequestHandler,
    ScriptedEndpoint,
)
from hemlockhall_standins.router.harness import router_harness
from hemlockhall_standins.router.load import CallerLoad, most_during_rest
from hemlockhall_standins.virtual_time import VirtualClock, VirtualTimeLoop

pytestmark = pytest.mark.anyio

ROUTES = [
    RouteRow("/read/", "idempotent", "desk"),
    RouteRow("/draft/", "stream", "pool", resumable=True),
]
ALL_LAYERS = {"service": "pool", "layers": (0, 8), "accelerator": "big"}
REST_S = 3.0
LONGEST_REST_S = REST_S * (1 + MAX_EXTENSION_FRACTION)
# As long as hosts assume of an endpoint that has not responded yet, so that all get
# requests.
RESPONSE_S = INITIAL_LATENCY_S
# Requests that one host may send to an endpoint in one time of rest.
ALLOWED = 2
# Seconds in which hosts hear each other, and for which an endpoint asks for rest.
START_S = 2.0
# Seconds within which a request is refused without a wait.
AT_ONCE_S = 0.02
REJECTING_S = 10.0


@pytest.fixture()
def anyio_backend(clock: VirtualClock) -> tuple[str, dict[str, Any]]:
    return "asyncio", {"loop_factory": lambda: VirtualTimeLoop(clock)}


async def respond(received: ReceivedRequest) -> None:
    await anyio.sleep(RESPONSE_S)
    await received.answer(200, b"")


async def refuse(received: ReceivedRequest) -> None:
    await received.refuse()


async def stream(received: ReceivedRequest) -> None:
    await received.begin()
    await received.event(1)
    await received.end()


# Handler and row of endpoints that serve a route.
SERVICES: dict[str, tuple[RequestHandler, dict[str, Any]]] = {
    "/read/": (respond, {"service": "desk"}),
    "/draft/": (stream, ALL_LAYERS),
}


class TestStatements:
    async def test_rest_is_counted_and_shown(self) -> None:
        async with router_harness(ROUTES) as harness:
            endpoint = await harness.start_endpoint("d1", refuse)
            endpoint.rest_s = REST_S
            await harness.request("/read/")
            metrics = harness.routers[0]._metrics.render().decode()
        assert 'hemlockhall_statements_total{label="rest"} 1' in metrics
        assert 'hemlockhall_endpoint_rest_seconds{label="d1"} ' in metrics
        assert 'hemlockhall_endpoint_rest_sent{label="d1"} 0.000' in metrics

    async def test_a_leaving_endpoint_is_counted_and_shown(self) -> None:
        async with router_harness(ROUTES) as harness:
            endpoint = await harness.start_endpoint("d1", respond)
            endpoint.leaving = True
            await harness.request("/read/")
            metrics = harness.routers[0]._metrics.render().decode()
        assert 'hemlockhall_statements_total{label="leaving"} 1' in metrics
        assert 'hemlockhall_endpoint_leaving_sent{label="d1"} 0.000' in metrics

    async def test_an_unreadable_rest_is_counted(self) -> None:
        async with router_harness(ROUTES) as harness:
            endpoint = await harness.start_endpoint("d1", refuse)
            endpoint.rest_s = "soon"
            await harness.request("/read/")
            metrics = harness.routers[0]._metrics.render().decode()
        assert 'hemlockhall_statements_unreadable_total{label="rest"} 1' in metrics


@pytest.mark.parametrize("target", SERVICES)
class TestBound:
    async def test_an_endpoint_that_asks_for_rest_gets_it(self, target: str) -> None:
        """Guards against hosts that keep sending requests to an endpoint that rejected
        one and asked them for rest, and against callers that are refused for it while
        other endpoints are idle."""
        random.seed(5)
        handler, row = SERVICES[target]
        async with router_harness(ROUTES, data_centre="place-0") as harness:
            for number in range(1, 4):
                await harness.add_router(data_centre=f"place-{number % 3}")
            resting = await harness.start_endpoint("d1", handler, **row)
            for name in ("d2", "d3", "d4"):
                await harness.start_endpoint(name, handler, **row)
            load = CallerLoad(harness, target, 40.0)
            load.start(harness.group)
            await anyio.sleep(START_S)
            resting.handler, resting.rest_s = refuse, REST_S
            await anyio.sleep(REJECTING_S)
        assert len(resting.rests) >= len(harness.routers)
        assert most_during_rest(resting, load) <= ALLOWED
        assert {response.head.status for response in load.responses} == {200}

    async def test_without_another_endpoint_callers_are_refused_at_once(
        self, target: str
    ) -> None:
        """Guards against requests that wait for a resting endpoint, and against callers
        that come back before it takes requests."""
        handler, row = SERVICES[target]
        async with router_harness(ROUTES) as harness:
            endpoint = await harness.start_endpoint("d1", refuse, **row)
            endpoint.rest_s = REST_S
            await harness.request(target)
            asked_at = time.monotonic()
            for _ in range(10):
                sent_at = time.monotonic()
                response = await harness.request(target)
                assert response.head.status == 503
                answered_at = time.monotonic()
                assert answered_at - sent_at < AT_ONCE_S
                retry_after_s = float(response.head.header(b"retry-after"))
                come_back_at = sent_at + retry_after_s
                assert asked_at + REST_S <= come_back_at
                assert come_back_at <= asked_at + LONGEST_REST_S + CALLER_SPREAD_S
                await anyio.sleep(0.1)
            assert len(endpoint.arrivals) == 1
            endpoint.handler = handler
            # Retry-After counts from the response.
            await anyio.sleep(answered_at + retry_after_s - time.monotonic())
            assert (await harness.request(target)).head.status == 200
            metrics = harness.routers[0]._metrics.render().decode()
        assert 'hemlockhall_refusals_total{label="resting"} 11' in metrics

    async def test_hosts_do_not_return_together(self, target: str) -> None:
        """Guards against a wave at the end of a rest: an endpoint that rejected all
        hosts gets one request of each until that one is accepted, then its share."""
        random.seed(6)
        handler, row = SERVICES[target]

        async def accept(received: ReceivedRequest) -> None:
            await anyio.sleep(RESPONSE_S)
            await handler(received)

        async with router_harness(ROUTES, data_centre="place-0") as harness:
            for number in range(1, 4):
                await harness.add_router(data_centre=f"place-{number % 3}")
            endpoint = await harness.start_endpoint("d1", accept, **row)
            load = CallerLoad(harness, target, 100.0)
            load.start(harness.group)
            await anyio.sleep(START_S)
            endpoint.handler, endpoint.rest_s = refuse, REST_S
            await anyio.sleep(REST_S - 1.0)
            endpoint.handler = accept
            await anyio.sleep(REST_S)
        last_asked_at = max(at for at, _, _ in endpoint.rests)
        returned_at = [at for at in endpoint.arrivals if at > last_asked_at + 1.0]
        early = [at for at in returned_at if at < returned_at[0] + RESPONSE_S]
        assert len(early) <= len(harness.routers)
        assert len([at for at in returned_at if at > returned_at[-1] - 0.5]) >= 35


class TestOtherSends:
    async def test_a_resting_endpoint_gets_no_probe_and_no_order(self) -> None:
        """Guards against control calls to an endpoint that wants nothing for a time."""
        async with router_harness(ROUTES) as harness:
            endpoint = await harness.start_endpoint("p1", refuse, **ALL_LAYERS)
            endpoint.rest_s = REST_S
            await harness.request("/draft/")
            router = harness.routers[0]
            known = router.directory.records["p1"].endpoint
            calls = endpoint.calls
            router._prober.request_probes(["p1"])
            with pytest.raises(CallWithheldError):
                await router._prober.fetch_report(known)
            router.directory.set_down("p1", down=True)
            assert router._planner._is_fixed(known, time.monotonic())
            await anyio.sleep(REST_S - 0.5)
            assert endpoint.calls == calls
            await harness.wait_until(lambda: endpoint.calls > calls)

    async def test_a_resting_endpoint_gets_no_layers(self) -> None:
        """Guards against orders of the planner to an endpoint that rests, and against
        one that gets none after its rest."""
        async with router_harness(ROUTES) as harness:
            router = harness.routers[0]
            statement = EndpointStatement(rejected=True, rest_s=REST_S)
            applied = router.directory.add

            def add(endpoint: Endpoint) -> EndpointRecord:
                router.statements.record_rest(endpoint, statement)
                return applied(endpoint)

            with pytest.MonkeyPatch.context() as patch:
                patch.setattr(router.directory, "add", add)
                row = {"service": "pool", "accelerator": "big"}
                endpoint = await harness.start_endpoint("p1", refuse, **row)
            await anyio.sleep(REST_S - 0.1)
            assert endpoint.calls == 0
            await harness.wait_until(lambda: endpoint.orders)

    async def test_a_running_stream_does_not_move_to_a_resting_endpoint(self) -> None:
        """Guards against streams of a leaving endpoint that move to one that rests, or
        are given up although they are still served."""
        resting: list[ScriptedEndpoint] = []

        async def hold(received: ReceivedRequest) -> None:
            await received.begin()
            await received.event(1)
            await received.reader.wait_disconnect()

        async def resume(received: ReceivedRequest) -> None:
            await received.begin()
            await received.event(2)
            await received.end()

        route = RouteRow("/draft/", "stream", "pool", resumable=True, pause_s=5.0)
        async with router_harness([route]) as harness:
            leaving = await harness.start_endpoint("p1", hold, **ALL_LAYERS)
            leaving.leaving = True
            router, bodies = harness.routers[0], []

            async def request() -> None:
                bodies.append((await harness.request("/draft/")).body)

            async with anyio.create_task_group() as group:
                group.start_soon(request)
                await harness.wait_until(lambda: leaving.arrivals)
                statement = EndpointStatement(rejected=True, rest_s=REST_S)
                resting.append(await harness.start_endpoint("p2", resume, **ALL_LAYERS))
                known = router.directory.records["p2"].endpoint
                router.statements.record_rest(known, statement)
                asked_at = time.monotonic()
        assert bodies[0].count(b"data:") == 2
        assert len(leaving.arrivals) == 1
        assert resting[0].arrivals[0] >= asked_at + REST_S

    async def test_calls_do_not_use_up_the_requests_after_a_rest(self) -> None:
        """Guards against a slow endpoint that stays out for long after its rest, as its
        probes count as the requests that show whether it accepts some again."""
        async with router_harness(ROUTES) as harness:
            endpoint = await harness.start_endpoint("p1", refuse, **ALL_LAYERS)
            endpoint.rest_s = REST_S
            await harness.request("/draft/")
            router = harness.routers[0]
            endpoint.handler = stream
            await anyio.sleep(LONGEST_REST_S)
            await router._prober.fetch_report(router.directory.records["p1"].endpoint)
            assert (await harness.request("/draft/")).head.status == 200

    async def test_an_entry_that_lapses_and_comes_back_does_not_end_a_rest(
        self,
    ) -> None:
        """Guards against an endpoint that gets requests again as its entry in the store
        was removed and written anew, or as its other backoffs are over."""
        async with router_harness(ROUTES) as harness:
            endpoint = await harness.start_endpoint("d1", refuse)
            endpoint.rest_s = REST_S
            await harness.request("/read/")
            records = harness.routers[0].directory.records
            harness.store.remove(Table.ENDPOINTS, "d1")
            await harness.wait_until(lambda: "d1" not in records)
            harness.register(endpoint, "desk", orders=5)
            await harness.wait_until(lambda: "d1" in records)
            assert (await harness.request("/read/")).head.status == 503
            assert len(endpoint.arrivals) == 1
            # A new incarnation has not asked for anything.
            harness.register(endpoint, "desk", born=2)
            await harness.wait_until(lambda: records["d1"].endpoint.started_ms == 2)
            await harness.request("/read/")
            assert len(endpoint.arrivals) == 2

    async def test_a_stream_with_events_waits_for_the_end_of_a_rest(self) -> None:
        """Guards against resumed streams that go to a resting endpoint, or are given up
        although it takes them later."""
        broken = anyio.Event()

        async def break_off(received: ReceivedRequest) -> None:
            await received.begin()
            await received.event(1)
            await broken.wait()
            await received.reset()

        async def refuse_once(received: ReceivedRequest) -> None:
            if len(resting.arrivals) == 1:
                await received.refuse()
                return
            await received.begin()
            await received.event(2)
            await received.end()

        async with router_harness(ROUTES) as harness:
            lost = await harness.start_endpoint("p1", break_off, **ALL_LAYERS)
            responses: list[Response] = []

            async def request() -> None:
                responses.append(await harness.request("/draft/"))

            async with anyio.create_task_group() as group:
                group.start_soon(request)
                await harness.wait_until(lambda: lost.arrivals)
                resting = await harness.start_endpoint("p2", refuse_once, **ALL_LAYERS)
                resting.rest_s = REST_S
                lost.stop()
                broken.set()
        assert responses[0].body.count(b"data:") == 2
        assert len(resting.arrivals) == 2
        assert resting.arrivals[1] >= resting.arrivals[0] + REST_S

    async def test_a_retry_is_not_lost_to_a_request_that_is_not_sent(self) -> None:
        """Guards against plain requests that take two retries from the budget for one
        that is sent, as an endpoint asked for rest while the connection was opened."""
        async with router_harness(ROUTES) as harness:
            refusing = await harness.start_endpoint("d1", refuse)
            router = harness.routers[0]
            for name in ("d2", "d3"):
                await harness.start_endpoint(name, respond)
            records = router.directory.records
            records["d1"].latency_s = 0.01
            statement = EndpointStatement(rejected=True, rest_s=REST_S)
            opened = ClientConnection.open
            resting: list[str] = []

            async def open_late(host: str, port: int, deadline: float) -> Any:
                for name in ("d2", "d3"):
                    if records[name].endpoint.port == port and not resting:
                        resting.append(name)
                        known = records[name].endpoint
                        router.statements.record_rest(known, statement)
                return await opened(host, port, deadline)

            with pytest.MonkeyPatch.context() as patch:
                patch.setattr(ClientConnection, "open", open_late)
                response = await harness.request("/read/")
            retries = sum(router.budget._counts("desk").retries.values())
        assert response.head.status == 200
        assert len(refusing.arrivals) == len(resting) == 1
        assert retries == 1

    async def test_a_permit_is_not_lost_to_a_request_that_is_not_sent(self) -> None:
        """Guards against permits of a limited endpoint that are used up by requests
        withheld as it asked for rest while they waited for a connection."""
        async with router_harness(ROUTES) as harness:
            endpoint = await harness.start_endpoint("d1", respond)
            await anyio.sleep(START_S)
            endpoint.request_limit = 0.2
            router = harness.routers[0]
            known = router.directory.records["d1"].endpoint
            await harness.request("/read/")
            await harness.wait_until(lambda: router.limits.may_send(known))
            context = router.frontend._context
            statement = EndpointStatement(rejected=True, rest_s=REST_S)
            opened = ClientConnection.open

            async def open_late(*args: Any) -> ClientConnection:
                router.statements.record_rest(known, statement)
                return await opened(*args)

            with pytest.MonkeyPatch.context() as patch:
                patch.setattr(ClientConnection, "open", open_late)
                context.pool._idle.clear()
                await harness.request("/read/")
            assert len(endpoint.arrivals) == 1
            assert router.limits.may_send(known)
