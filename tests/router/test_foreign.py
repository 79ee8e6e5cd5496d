"""A router that goes on serving while others write what it cannot read."""

from __future__ import annotations

import socket
import zlib
from typing import Any

import anyio
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from hemlockhall_router.connection.link import LinkError
from hemlockhall_router.connection.link import decode as decode_rows
from hemlockhall_router.membership.message import (
    ClassDemand,
    Contact,
    CrashEvidence,
    CustomerDemand,
    DataCentre,
    Digest,
    LayerUpdate,
    LeavingNotice,
    Load,
    MessageError,
    RequestLimit,
    RetryRecord,
    RetryUsage,
    SegmentVerdict,
    ServiceDemand,
    TableVersion,
    decode,
    encode,
)
from hemlockhall_router.process.store import Table
from hemlockhall_standins.foreign import DEPTH
from hemlockhall_standins.router.dialect import RouteRow
from hemlockhall_standins.router.endpoint import ReceivedRequest
from hemlockhall_standins.router.harness import RouterHarness, router_harness
from hemlockhall_standins.virtual_time import VirtualClock, VirtualTimeLoop

pytestmark = pytest.mark.anyio

ROUTES = [
    RouteRow("/read/", "idempotent", "desk"),
    RouteRow("/book/", "once", "desk"),
    RouteRow("/draft/", "stream", "pool", resumable=True),
]
CONTACT = Contact("host-1", "10.0.0.1:1", "here", 1, "1")
DIGEST = encode(
    Digest(
        sender=CONTACT,
        table_versions=[TableVersion("endpoints", 3, 4, 5)],
        loads=[Load(1, 2, 3, 4, 5)],
        down=[1],
        presumed_draining=[2],
        layer_updates=[LayerUpdate(1, 2, 3, 0, 8)],
        contacts=[CONTACT],
        data_centres=[DataCentre("here", 1, 1, "a", 7, True, [RetryUsage(1, 2, 3)])],
        clock_ms=9,
        limits=[RequestLimit(1, 2, 3.0, 4)],
        leaving=[LeavingNotice(1, 2)],
        demands=[ServiceDemand(1, 2, 3, 4, 5, [ClassDemand(0, 9)])],
        customers=[CustomerDemand(1, 2, 3, 4)],
        demand_hosts=1,
        crashes=[CrashEvidence(1, 2, 3, 4, 5, True)],
        verdicts=[SegmentVerdict(1, 2, 3, 4)],
        history=[RetryRecord(1, 2, [3])],
        covered_ms=5,
    )
)
# More than any limit of the interpreter.
DEEPEST = 100_000
NESTED = b"[" * DEPTH + b"]" * DEPTH
# Decoders skip a field that they do not know, however it is made.
NESTED_FIELD = b'{"unknown":%b}' % NESTED
FOREIGN_ROWS = [
    NESTED_FIELD,
    NESTED,
    b'{"address":"x","holder":1,"verdicts":[1]}',
    b'{"address":"1.2.3.4:%b"}' % (b"8" * 5000),
    b"\xff",
    b"",
    b'{"unknown":%b}' % (b"[" * DEEPEST + b"]" * DEEPEST),
    b'{"service":"desk","port":0}',
    b'{"service":"desk","port":99999}',
    b'{"service":"desk","port":-1}',
    b'{"service":"desk","port":%b}' % (b"8" * 5000),
    b'{"service":"\xff","port":1}',
]
# Lists in MessagePack: lists with one entry, and the innermost without any.
NESTED_MSGPACK = msgspec.Raw(b"\x91" * DEPTH + b"\x90")
# Messages with a field more than is read.
NESTED_DIGEST = msgspec.msgpack.encode(
    [*msgspec.msgpack.decode(DIGEST), NESTED_MSGPACK]
)
NESTED_ROWS = msgspec.msgpack.encode(
    {"type": "fetch", "table": "routing", "after": 0, "unknown": NESTED_MSGPACK}
)
# Time for a row to reach all hosts, and for tasks that failed to begin again.
SETTLE_S = 1.5


@pytest.fixture()
def anyio_backend(clock: VirtualClock) -> tuple[str, dict[str, Any]]:
    return "asyncio", {"loop_factory": lambda: VirtualTimeLoop(clock)}


async def respond(received: ReceivedRequest) -> None:
    await received.answer(200, b"")


async def stream(received: ReceivedRequest) -> None:
    await received.begin()
    await received.event(1)
    await received.end()


async def assert_served(harness: RouterHarness, **headers: str) -> None:
    for router in range(len(harness.routers)):
        for target in ("/read/", "/book/", "/draft/"):
            response = await harness.request(target, router=router, headers=headers)
            assert response.head.status == 200


async def start(harness: RouterHarness) -> None:
    await harness.add_router()
    await harness.start_endpoint("d1", respond)
    await harness.start_endpoint(
        "p1", stream, service="pool", layers=(0, 8), accelerator="big"
    )
    await assert_served(harness)


class TestRouter:
    @pytest.mark.parametrize("value", FOREIGN_ROWS)
    @pytest.mark.parametrize("table", list(Table))
    async def test_rows_of_another_writer_are_ignored(
        self, table: Table, value: bytes
    ) -> None:
        """Guards against a row of another writer that ends all routers."""
        async with router_harness(ROUTES) as harness:
            await start(harness)
            for key in ("foreign", "planner", "verdicts", "configuration"):
                harness.store.put(table, key, value)
            await anyio.sleep(SETTLE_S)
            await assert_served(harness)
            if table is Table.ROUTING:
                # The last configuration is not in the store any more.
                return
            await harness.add_router()
            await assert_served(harness)

    async def test_the_rows_beside_one_are_applied(self) -> None:
        """Guards against a batch that is lost for one row that cannot be read."""
        async with router_harness(ROUTES) as harness:
            await start(harness)
            harness.store.put(Table.ENDPOINTS, "a", NESTED_FIELD)
            await harness.start_endpoint("d2", respond)
            harness.store.put(Table.ENDPOINTS, "b", NESTED_FIELD)
            await anyio.sleep(SETTLE_S)
            for router in harness.routers:
                assert set(router.directory.records) == {"d1", "d2", "p1"}

    @pytest.mark.parametrize(
        "fields",
        [
            {"layers": [0, 65_535]},
            {"layers": [7, 65_535]},
            {"layers": [3, 3]},
            {"layers": [8, 9], "accelerator": "none"},
            {"orders": 2**53 - 1, "slots": 0, "born": 0},
            {"layers": [0, 8], "slots": 2**53 - 1},
            {"service": "desk", "slots": 0, "accelerator": "big"},
            {"service": "none", "place": ""},
        ],
    )
    async def test_odd_entries_leave_the_others_in_use(
        self, fields: dict[str, Any]
    ) -> None:
        """Guards against an entry that can be read and fails the plan of a service."""
        entry = {"service": "pool", "port": 1, "accelerator": "big", **fields}
        async with router_harness(ROUTES) as harness:
            await start(harness)
            for key in ("a", "q", "z"):
                harness.store.put(Table.ENDPOINTS, key, msgspec.json.encode(entry))
            await anyio.sleep(SETTLE_S)
            for _ in range(3):
                for router in range(2):
                    response = await harness.request("/draft/", router=router)
                    assert response.head.status in (200, 503)
                await anyio.sleep(SETTLE_S)
            for key in ("a", "q", "z"):
                harness.store.remove(Table.ENDPOINTS, key)
            await anyio.sleep(SETTLE_S)
            await assert_served(harness)

    async def test_messages_of_hosts_that_cannot_be_read_are_dropped(self) -> None:
        """Guards against bytes at a host's port that end the router."""
        async with router_harness(ROUTES) as harness:
            await start(harness)
            body = zlib.compress(NESTED_ROWS)
            for address in harness.listens:
                host, _, port = address.rpartition(":")
                with socket.socket(type=socket.SOCK_DGRAM) as udp:
                    for data in (NESTED_DIGEST, b"\xff" * 9, b""):
                        udp.sendto(data, (host, int(port)))
                for frame in (len(body).to_bytes(4, "big") + body, b"\xff" * 9):
                    async with await anyio.connect_tcp(host, int(port)) as conn:
                        await conn.send(frame)
                        with pytest.raises(anyio.EndOfStream):
                            await conn.receive()
            await anyio.sleep(SETTLE_S)
            await assert_served(harness)

    async def test_reports_that_cannot_be_read_are_ignored(self) -> None:
        """Guards against an endpoint whose report ends the router."""
        async with router_harness(ROUTES) as harness:
            await start(harness)
            odd = await harness.start_endpoint(
                "p2", stream, service="pool", accelerator="big"
            )
            odd.state = msgspec.Raw(NESTED_FIELD)  # type: ignore[assignment]
            for router in harness.routers:
                router._prober.request_probes(["p2"])
            await harness.wait_until(lambda: odd.calls)
            await anyio.sleep(SETTLE_S)
            await assert_served(harness)

    async def test_numbers_of_callers_fail_no_request(self) -> None:
        """Guards against a deadline of many digits, whose request gets no response."""
        async with router_harness(ROUTES) as harness:
            await start(harness)
            for digits in (1_000, 23, 400):
                await assert_served(harness, **{"deadline-ms": "9" * digits})


@st.composite
def foreign_messages(draw: st.DrawFn) -> bytes:
    """Draw a digest with one value replaced by one of another size or type."""
    raw = msgspec.msgpack.decode(DIGEST)
    values = (-1, 2**63, 2**64 - 1, 1e300, "x", b"", None, [], [[[]]], {}, "²:1")
    place = raw
    while True:
        index = draw(st.integers(0, len(place) - 1))
        if (
            not isinstance(place[index], list)
            or not place[index]
            or draw(st.booleans())
        ):
            break
        place = place[index]
    place[index] = draw(st.sampled_from(values))
    return msgspec.msgpack.encode(raw)


class TestMessages:
    @given(foreign_messages())
    def test_any_datagram_is_rejected_or_can_be_passed_on(self, data: bytes) -> None:
        """Guards against figures of one host that another one cannot send on."""
        try:
            message = decode(data)
        except MessageError:
            return
        encode(message)
        total = sum(load.tokens for load in message.loads) * 1000
        msgspec.msgpack.encode(total)

    @pytest.mark.parametrize("address", ["1.2.3.4:" + "8" * 5000, "1.2.3.4:²"])
    def test_an_address_that_cannot_be_read_rejects_it(self, address: str) -> None:
        """Guards against a port that ends the process while it is checked."""
        raw = msgspec.msgpack.decode(DIGEST)
        raw[2][1] = address
        with pytest.raises(MessageError, match="not an IPv4 address and port"):
            decode(msgspec.msgpack.encode(raw))

    def test_a_nested_datagram_is_rejected(self) -> None:
        """Guards against a datagram that ends the process."""
        with pytest.raises(MessageError, match="RecursionError"):
            decode(NESTED_DIGEST)

    def test_nested_rows_are_rejected(self) -> None:
        """Guards against a transfer of rows that ends the process."""
        with pytest.raises(LinkError, match="RecursionError"):
            decode_rows(zlib.compress(NESTED_ROWS))
