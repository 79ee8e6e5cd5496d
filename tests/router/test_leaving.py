"""Endpoints that state that they leave, over whole routers in virtual time."""

from __future__ import annotations

import random
import time
from typing import Any

import anyio
import pytest

from hemlockhall_router.process.directory import MAX_NOTICES
from hemlockhall_router.process.store import Table
from hemlockhall_standins.router.dialect import RouteRow
from hemlockhall_standins.router.endpoint import ReceivedRequest, RequestHandler
from hemlockhall_standins.router.harness import router_harness
from hemlockhall_standins.router.load import CallerLoad
from hemlockhall_standins.virtual_time import VirtualClock, VirtualTimeLoop

pytestmark = pytest.mark.anyio

ROUTES = [
    RouteRow("/read/", "idempotent", "desk"),
    RouteRow("/draft/", "stream", "pool", resumable=True),
]
ALL_LAYERS = {"service": "pool", "layers": (0, 8), "accelerator": "big"}
START_S = 2.0
LEAVING_S = 8.0
# Time after the first such response from which an endpoint gets no request.
DRAIN_S = 2.0


@pytest.fixture()
def anyio_backend(clock: VirtualClock) -> tuple[str, dict[str, Any]]:
    return "asyncio", {"loop_factory": lambda: VirtualTimeLoop(clock)}


async def respond(received: ReceivedRequest) -> None:
    await anyio.sleep(0.1)
    await received.answer(200, b"")


async def refuse(received: ReceivedRequest) -> None:
    await received.refuse()


async def stream(received: ReceivedRequest) -> None:
    await received.begin()
    await received.event(1)
    await received.end()


SERVICES: dict[str, tuple[RequestHandler, dict[str, Any]]] = {
    "/read/": (respond, {"service": "desk"}),
    "/draft/": (stream, ALL_LAYERS),
}


@pytest.mark.parametrize("target", SERVICES)
class TestBound:
    async def test_an_endpoint_that_states_it_leaves_gets_no_request(
        self, target: str
    ) -> None:
        """Guards against hosts that keep sending requests to an endpoint whose
        responses say that it leaves while its entry in the store says ready."""
        random.seed(3)
        handler, row = SERVICES[target]
        async with router_harness(ROUTES, data_centre="place-0") as harness:
            for number in range(1, 4):
                await harness.add_router(data_centre=f"place-{number % 3}")
            leaving = await harness.start_endpoint("d1", handler, **row)
            for name in ("d2", "d3"):
                await harness.start_endpoint(name, handler, **row)
            load = CallerLoad(harness, target, 40.0)
            load.start(harness.group)
            await anyio.sleep(START_S)
            leaving.leaving = True
            stated_at, since = time.monotonic(), len(leaving.arrivals)
            await anyio.sleep(LEAVING_S / 2)
            harness.register(leaving, row["service"], orders=3, **only_layers(row))
            await anyio.sleep(LEAVING_S / 2)
        # The first such response is that to a request under way, or to the next one.
        told_at = max([stated_at, *leaving.arrivals[since : since + 1]])
        assert [at for at in leaving.arrivals if at > told_at + DRAIN_S] == []
        assert {response.head.status for response in load.responses} == {200}

    @pytest.mark.parametrize("status", [200, 503])
    async def test_its_entry_does_not_bring_it_back_but_a_restart_does(
        self, target: str, status: int
    ) -> None:
        """Guards against requests to a leaving endpoint whose entry in the store is
        written again, and against a restarted one that is never used."""
        handler, row = SERVICES[target]
        async with router_harness(ROUTES) as harness:
            endpoint = await harness.start_endpoint("d1", handler, **row)
            if status == 503:
                endpoint.handler = refuse
            endpoint.leaving = True
            await harness.request(target)
            records = harness.routers[0].directory.records
            for change in ("count", "lapse"):
                if change == "lapse":
                    harness.store.remove(Table.ENDPOINTS, "d1")
                    await harness.wait_until(lambda: "d1" not in records)
                harness.register(endpoint, row["service"], orders=7, **only_layers(row))
                await harness.wait_until(
                    lambda: "d1" in records and records["d1"].endpoint.order_count == 7
                )
                response = await harness.request(target)
                assert response.head.status == 503
                assert float(response.head.header(b"retry-after")) > 0
            assert len(endpoint.arrivals) == 1
            endpoint.leaving, endpoint.handler = False, handler
            harness.register(endpoint, row["service"], born=2, **only_layers(row))
            await harness.wait_until(lambda: records["d1"].endpoint.started_ms == 2)
            assert (await harness.request(target)).head.status == 200


def only_layers(row: dict[str, Any]) -> dict[str, Any]:
    return {key: row[key] for key in row if key != "service"}


class TestOtherHosts:
    async def test_they_learn_of_it_without_a_request(self) -> None:
        """Guards against a request of each host to an endpoint that told one of them
        that it leaves."""
        async with router_harness(ROUTES, data_centre="place-0") as harness:
            for number in range(1, 4):
                await harness.add_router(data_centre=f"place-{number % 3}")
            endpoint = await harness.start_endpoint("d1", respond)
            await anyio.sleep(START_S)
            endpoint.leaving = True
            await harness.request("/read/", router=1)
            await anyio.sleep(DRAIN_S)
            for router in range(4):
                response = await harness.request("/read/", router=router)
                assert response.head.status == 503
            harness.kill(2)
            await anyio.sleep(1.0)
            await harness.restart(2)
            await anyio.sleep(DRAIN_S)
            await harness.request("/read/", router=2)
        assert len(endpoint.arrivals) == 1

    async def test_many_are_told_in_turns(self) -> None:
        """Guards against endpoints that leave with many others and are left out of each
        message."""
        async with router_harness(ROUTES) as harness:
            directory = harness.routers[0].directory
            for number in range(2 * MAX_NOTICES + 1):
                await harness.start_endpoint(f"d{number}", respond)
            for record in list(directory.records.values()):
                directory.record_leaving(record.endpoint)
            told = set()
            for _ in range(3):
                notices = directory.leaving_notices()
                assert len(notices) <= MAX_NOTICES
                told.update(notices)
        assert len(told) == 2 * MAX_NOTICES + 1


class TestStreams:
    async def test_they_move_as_with_a_draining_entry(self) -> None:
        """Guards against streams that are cut off at the end of an endpoint that stated
        in the head of its responses that it leaves."""
        routes = [RouteRow("/draft/", "stream", "pool", resumable=True, pause_s=5.0)]

        async def hold(received: ReceivedRequest) -> None:
            await received.begin()
            await received.event(1)
            await received.reader.wait_disconnect()

        async def resume(received: ReceivedRequest) -> None:
            await received.begin()
            await received.event(2)
            await received.end()

        async with router_harness(routes) as harness:
            leaving = await harness.start_endpoint("p1", hold, **ALL_LAYERS)
            leaving.leaving = True
            bodies: list[bytes] = []

            async def request() -> None:
                bodies.append((await harness.request("/draft/")).body)

            began_at = time.monotonic()
            async with anyio.create_task_group() as group:
                group.start_soon(request)
                await harness.wait_until(lambda: leaving.arrivals)
                await harness.start_endpoint("p2", resume, **ALL_LAYERS)
        assert bodies[0].count(b"data:") == 2
        assert time.monotonic() - began_at < DRAIN_S

    async def test_those_of_a_restarted_endpoint_stay(self) -> None:
        """Guards against a restarted endpoint that is emptied again and again as its
        earlier incarnation left."""
        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("p1", stream, **ALL_LAYERS, draining=True)
            record = harness.routers[0].directory.records["p1"]
            endpoint = record.endpoint
            harness.routers[0].directory.record_leaving(endpoint)
            assert record.next_move_deadline is not None
            record.endpoint = endpoint
            harness.routers[0].directory._upsert(
                type(endpoint)(
                    endpoint.id,
                    "pool",
                    endpoint.host,
                    endpoint.port,
                    "here",
                    started_ms=2,
                    layers=endpoint.layers,
                )
            )
            assert not record.leaving(time.monotonic())
            assert record.next_move_deadline is None


class TestOrders:
    async def test_a_leaving_endpoint_gets_none(self) -> None:
        """Guards against layers that are given to an endpoint that leaves."""
        async with router_harness(ROUTES) as harness:
            row = {"service": "pool", "accelerator": "small"}
            leaving = await harness.start_endpoint("p1", refuse, **row)
            await harness.wait_until(lambda: leaving.orders)
            leaving.leaving = True
            directory = harness.routers[0].directory
            await harness.routers[0]._prober.fetch_report(
                directory.records["p1"].endpoint
            )
            orders = len(leaving.orders)
            await harness.start_endpoint("p2", refuse, **row)
            await harness.start_endpoint("p3", refuse, **row)
            await anyio.sleep(START_S)
            assert len(leaving.orders) == orders
            assert directory.live_endpoints("pool")
            assert "p1" not in [e.id for e in directory.live_endpoints("pool")]
