"""Rejections by full endpoints: which requests are retried, and which are refused.

The relays run without a network, in virtual time.
"""

from __future__ import annotations

import re
import time
from collections import Counter
from dataclasses import dataclass, field, replace
from typing import Any

import anyio
import pytest

from hemlockhall_router.connection.error import ConnectionLostError, NotSentError
from hemlockhall_router.connection.message import (
    Headers,
    RequestHead,
    Response,
    ResponseHead,
)
from hemlockhall_router.membership.clock import SharedClock
from hemlockhall_router.membership.history import RetryHistory
from hemlockhall_router.policy.data_centre_link import DataCentreLinks
from hemlockhall_router.process.budget import SAFETY_FACTOR, RetryBudget
from hemlockhall_router.process.chooser import Chooser
from hemlockhall_router.process.crash import CrashWatch
from hemlockhall_router.process.directory import Directory
from hemlockhall_router.process.metric import Metrics
from hemlockhall_router.request.plain import PlainRelay
from hemlockhall_router.request.relay import (
    RelayContext,
    RoutedRequest,
    encode_upstream_request,
)
from hemlockhall_router.request.stream import StreamRelay
from hemlockhall_router.version.endpoint import (
    Endpoint,
    EndpointStatement,
    LayerRange,
)
from hemlockhall_router.version.routing import (
    Customer,
    Route,
    RouteKind,
    Service,
    Target,
)
from hemlockhall_standins.router.dialect import StandinDialect, model
from hemlockhall_standins.router.endpoint import event_text
from hemlockhall_standins.router.pool import (
    SERVICE,
    make_directory,
    make_limits,
    make_quarantine,
    make_statements,
)
from hemlockhall_standins.virtual_time import VirtualClock, VirtualTimeLoop

pytestmark = pytest.mark.anyio

DIALECT = StandinDialect()
# Half of the memory of an endpoint is left for requests.
MODEL = replace(model(), layer_mb=0.5)
OBJECTIVE_S = 2.0
EVENT_INTERVAL_S = 0.02
EVENT_COUNT = 6
RESPONSE_S = 0.005
RETRY_AFTER_S = 7.25
# Retries that one host may spend in ``make_host``, without requests.
RETRIES = 20
URGENT, MIDDLE, LEAST = 0, 5, 9


@pytest.fixture()
def anyio_backend(clock: VirtualClock) -> tuple[str, dict[str, Any]]:
    return "asyncio", {"loop_factory": lambda: VirtualTimeLoop(clock)}


@dataclass
class FakeAdmission:
    """Overload control of a service with priorities 0, 5 and 9."""

    is_short: bool = True
    is_applied: bool = True
    has_priorities: bool = True
    sent: int = 0
    rejected: int = 0

    def applies(self, service: str) -> bool:
        return self.is_applied

    def sent_priority(self, request: RoutedRequest) -> int | None:
        return request.route.priority if self.has_priorities else None

    def short(self, service: str) -> bool:
        return self.is_applied and self.is_short

    def tier(self, request: RoutedRequest) -> int:
        return (URGENT, MIDDLE, LEAST).index(request.route.priority)

    def retry_after_s(self, request: RoutedRequest) -> float:
        return RETRY_AFTER_S

    def record_sent(self, service: str) -> None:
        self.sent += 1

    def record_rejected(self, service: str) -> None:
        self.rejected += 1


@dataclass
class FakeEndpoint:
    """Runs requests unless it is ``full``, ``broken`` or ``lost``.

    A full one rejects them with ``status`` and the additional ``headers``. A broken one
    loses the connection after a request, a lost one accepts no connection and breaks
    all. Its streams send ``event_count`` events. It rejects those that continue at
    ``lost_next``. Unless ``names_fault`` is false, rejections name the endpoint that is
    full or lost.
    """

    name: str
    number: int
    full: bool = False
    broken: bool = False
    lost: bool = False
    status: int = 503
    headers: Headers = field(default_factory=list)
    event_count: int = EVENT_COUNT
    lost_next: FakeEndpoint | None = None
    names_fault: bool = True
    received: list[bytes] = field(default_factory=list)

    @property
    def address(self) -> tuple[str, int]:
        return (f"10.0.0.{self.number}", 80)


class FakeConnection:
    """A connection to a ``FakeEndpoint``."""

    reusable = False

    def __init__(self, endpoint: FakeEndpoint) -> None:
        self.endpoint = endpoint
        self.next_event = 1
        self.fault: FakeEndpoint | None = None

    async def send(self, data: bytes, deadline: float) -> None:
        self.endpoint.received.append(data)
        following = self.endpoint.lost_next
        if self.endpoint.full:
            self.fault = self.endpoint
        elif following is not None and f" {following.name}:".encode() in data:
            self.fault = following
        resumed = re.search(rb"resume-after: (\d+)", data)
        if resumed is not None:
            self.next_event = int(resumed[1]) + 1

    async def read_head(self, deadline: float) -> ResponseHead:
        await anyio.sleep(RESPONSE_S)
        endpoint = self.endpoint
        if endpoint.broken or endpoint.lost:
            raise ConnectionLostError("reset")
        if self.fault is not None:
            host, port = self.fault.address
            headers = [(b"not-run", b"1")]
            if endpoint.names_fault:
                headers.append((b"at-fault", f"{host}:{port}".encode()))
            return ResponseHead(endpoint.status, b"", headers + endpoint.headers)
        headers = [(b"signature", endpoint.name.encode())]
        return ResponseHead(200, b"OK", headers + endpoint.headers)

    async def read_chunk(self, deadline: float) -> bytes | None:
        await anyio.sleep(EVENT_INTERVAL_S)
        if self.endpoint.lost:
            raise ConnectionLostError("reset")
        if self.next_event > self.endpoint.event_count:
            return None
        self.next_event += 1
        return event_text(self.next_event - 1)

    async def read_response(self, deadline: float, *, no_body: bool) -> Response:
        return Response(await self.read_head(deadline), self.endpoint.name.encode())

    async def close(self) -> None:
        pass


@dataclass
class FakePool:
    """Connects to the endpoints of a test."""

    endpoints: dict[tuple[str, int], FakeEndpoint] = field(default_factory=dict)

    async def acquire(self, address: tuple[str, int], deadline: float) -> Any:
        endpoint = self.endpoints[address]
        if endpoint.lost:
            raise NotSentError("connection refused")
        return FakeConnection(endpoint)

    async def release(self, address: object, conn: object, head: object) -> None:
        pass


class NoProber:
    """Sends no probes."""

    def request_probes(self, endpoint_ids: list[str]) -> None:
        pass


class HeardHistory(RetryHistory):
    """That of a host which hears the others all the time."""

    @property
    def complete(self) -> bool:
        return True


@dataclass
class FakeWriter:
    """The caller's side: the response, and the times of its events."""

    status: int = 0
    body: bytes = b""
    retry_after_s: float | None = None
    complete: bool = False
    close_connection: bool = False
    event_times: list[float] = field(default_factory=list)

    @property
    def started(self) -> bool:
        return self.status != 0

    @property
    def longest_gap_s(self) -> float:
        gaps = []
        for number in range(1, len(self.event_times)):
            gaps.append(self.event_times[number] - self.event_times[number - 1])
        return max(gaps)

    async def start_stream(self, head: ResponseHead) -> None:
        self.status = head.status

    async def send_events(self, data: bytes) -> None:
        self.body += data
        self.event_times.append(time.monotonic())

    async def end_stream(self) -> None:
        self.complete = True

    async def forward(self, response: Response) -> None:
        self.status, self.body = response.head.status, response.body
        self.complete = True

    async def local_reply(
        self, status: int, text: str, retry_after_s: float | None = None
    ) -> None:
        self.status, self.retry_after_s = status, retry_after_s
        self.complete = True


@dataclass
class Host:
    """One host with its endpoints, and the requests that it relayed."""

    context: RelayContext
    admission: FakeAdmission
    endpoints: dict[str, FakeEndpoint]
    requests: list[RoutedRequest] = field(default_factory=list)

    @property
    def received(self) -> int:
        return sum(len(endpoint.received) for endpoint in self.endpoints.values())

    def refusals(self) -> Counter[str]:
        text = self.context.metrics.render().decode()
        found: Counter[str] = Counter()
        for label, count in re.findall(r'refusals_total{label="(\w+)"} (\d+)', text):
            found[label] = int(count)
        return +found

    def spend(self, reserve: float) -> None:
        """Spend retries until those that leave ``reserve`` are used up."""
        while self.context.retry_budget.try_acquire(SERVICE, reserve):
            pass

    def send_next_to(self, name: str) -> None:
        """Leave only one endpoint to the next attempt, and all to those after it."""
        now = time.monotonic()
        for key, record in self.context.directory.records.items():
            usable_at = now if key == name else now + RESPONSE_S / 2
            record.backoff_deadline = usable_at

    def hold(self, name: str, first: int, end: int) -> None:
        """Let an endpoint hold only these layers."""
        record = self.context.directory.records[name]
        record.endpoint = replace(record.endpoint, layers=LayerRange(first, end))
        self.context.directory.generation += 1

    def lose(self, name: str) -> None:
        """End an endpoint with its connections; it is found to be down."""
        self.endpoints[name].lost = True
        self.context.directory.set_down(name, down=True)

    async def plain(self, priority: int) -> FakeWriter:
        """Relay an idempotent request."""
        request = self._request(
            priority, RouteKind.IDEMPOTENT, Service(SERVICE, "/", 0)
        )
        writer = FakeWriter()
        await PlainRelay(request, self.context, writer).run()
        return writer

    async def stream(
        self, priority: int, writer: FakeWriter | None = None, *, resumable: bool = True
    ) -> FakeWriter:
        """Relay a stream."""
        service = Service(SERVICE, "/", 0, 100, MODEL)
        request = self._request(priority, RouteKind.STREAM, service, resumable)
        writer = writer or FakeWriter()
        await StreamRelay(request, self.context, writer).run()
        return writer

    def _request(
        self, priority: int, kind: RouteKind, service: Service, resumable: bool = True
    ) -> RoutedRequest:
        request = make_request(priority, kind, service, resumable=resumable)
        self.requests.append(request)
        self.context.retry_budget.record_request(SERVICE)
        return request


def make_request(
    priority: int,
    kind: RouteKind,
    service: Service,
    *,
    resumable: bool = True,
    customer: Customer | None = None,
) -> RoutedRequest:
    route = Route(
        name="route",
        host=b"hall.example",
        prefix=b"/",
        kind=kind,
        timeout_s=30.0,
        latency_objective_s=OBJECTIVE_S,
        targets=(Target(SERVICE, 1.0),),
        max_attempts=4,
        priority=priority,
        resumable=resumable,
        max_event_gap_s=1.0,
    )
    head = RequestHead(b"POST", b"/x", [(b"Urgency", b"3")])
    deadline = time.monotonic() + route.timeout_s
    return RoutedRequest(head, b"", route, service, customer, b"r1", deadline)


def make_host(count: int = 2, ratio: float = 0.0, **endpoint: Any) -> Host:
    """Return a host with endpoints ``p1`` and so on, all of which hold the model."""
    directory, pool = make_directory(), FakePool()
    endpoints = {}
    for number in range(1, count + 1):
        fake = FakeEndpoint(f"p{number}", number, **endpoint)
        endpoints[fake.name] = pool.endpoints[fake.address] = fake
        host, port = fake.address
        directory.add(
            Endpoint(
                fake.name,
                SERVICE,
                host,
                port,
                "here",
                slots=8,
                accelerator="big",
                layers=LayerRange(0, 8),
            )
        )
    # Half of its share is always this host's; the rest it takes from what is left.
    clock = time.monotonic
    history = HeardHistory(SharedClock(clock, 0.0), clock, 10.0)
    constant = RETRIES / SAFETY_FACTOR
    budget = RetryBudget(
        ratio, constant, 10.0, lambda: 1, lambda: (1, []), history, clock=clock
    )
    budget.assume_first()
    links = DataCentreLinks(lambda: 1)
    limits, statements = make_limits(directory), make_statements(directory)
    quarantine = make_quarantine(directory)
    chooser = Chooser(directory, "here", links, lambda: 1, limits, statements)
    admission = FakeAdmission()
    context = RelayContext(
        DIALECT,
        pool,
        directory,
        chooser,
        budget,
        Metrics(),
        NoProber(),
        links,
        limits,
        statements,
        admission,
        CrashWatch(
            directory,
            Metrics(),
            time.monotonic,
            quarantine,
            lambda ids: answer_probes(directory, ids),
        ),
        quarantine,
    )
    return Host(context, admission, endpoints)


def answer_probes(directory: Directory, endpoint_ids: list[str]) -> None:
    """Let endpoints answer that are not silent."""
    for endpoint_id in endpoint_ids:
        record = directory.records[endpoint_id]
        if not record.down:
            directory.record_answer(record.endpoint, time.monotonic())


class TestPlainRequests:
    async def test_least_urgent_is_refused_after_one_rejection(self) -> None:
        """Guards against retries of requests that are only rejected again."""
        host = make_host(full=True)
        writer = await host.plain(LEAST)
        assert (writer.status, writer.retry_after_s) == (503, RETRY_AFTER_S)
        assert host.received == 1
        assert host.refusals() == {"no_room": 1}
        assert (host.admission.sent, host.admission.rejected) == (1, 1)

    @pytest.mark.parametrize("priority", [URGENT, MIDDLE])
    async def test_urgent_ones_are_retried_elsewhere(self, priority: int) -> None:
        host = make_host()
        host.endpoints["p1"].full = True
        host.send_next_to("p1")
        assert (await host.plain(priority)).body == b"p2"
        assert host.admission.sent == host.received == 2
        assert host.admission.rejected == 1

    async def test_rejected_requests_leave_their_reserve(self) -> None:
        """Guards against rejections of less urgent requests that use up the retries of
        more urgent ones."""
        host = make_host(full=True)
        host.spend(0.6)
        assert (await host.plain(MIDDLE)).retry_after_s == RETRY_AFTER_S
        assert host.received == 1
        assert (await host.plain(URGENT)).retry_after_s == RETRY_AFTER_S
        assert host.received == 3
        host.spend(0.3)
        assert (await host.plain(URGENT)).retry_after_s == RETRY_AFTER_S
        assert host.received == 4
        assert host.refusals() == {"no_room": 3}

    async def test_broken_requests_use_the_reserve(self) -> None:
        """Guards against requests of a lost endpoint that get no retry since others
        were rejected."""
        host = make_host()
        host.endpoints["p1"].broken = True
        host.spend(0.3)
        host.send_next_to("p1")
        assert (await host.plain(LEAST)).body == b"p2"
        assert host.received == 2

    async def test_request_that_may_have_run_is_retried(self) -> None:
        """The first endpoint breaks and the second is full. Guards against giving the
        request up for want of room, which callers may not be told of one that may have
        run."""
        host = make_host(3)
        host.endpoints["p1"].broken = True
        host.endpoints["p2"].full = True
        host.endpoints["p3"].full = True
        async with anyio.create_task_group() as group:
            group.start_soon(host.plain, LEAST)
            host.send_next_to("p1")
            await anyio.sleep(1.5 * RESPONSE_S)
            host.endpoints["p2"].full = host.endpoints["p3"].full = False
        assert host.received == 3
        assert host.requests[0].completed
        assert host.refusals() == {}

    async def test_exhausted_budget_means_no_room(self) -> None:
        host = make_host(full=True)
        host.spend(0.0)
        assert (await host.plain(URGENT)).retry_after_s == RETRY_AFTER_S
        assert host.refusals() == {"no_room": 1}

    @pytest.mark.parametrize(
        ("status", "headers"),
        [(503, [(b"rest-s", b"2")]), (503, [(b"leaving", b"1")]), (421, [])],
    )
    async def test_other_rejections_are_retried(
        self, status: int, headers: Headers
    ) -> None:
        """Guards against refusals for want of room where an endpoint rests or leaves or
        has another's address, while others have room."""
        host = make_host()
        first = host.endpoints["p1"]
        first.full, first.status, first.headers = True, status, headers
        host.send_next_to("p1")
        assert (await host.plain(LEAST)).body == b"p2"
        assert len(first.received) == 1
        assert host.admission.rejected == 0

    async def test_rejected_request_does_not_wait_for_a_rest(self) -> None:
        """The other endpoint rests. Guards against callers that return at its end
        although room is short."""
        host = make_host()
        host.endpoints["p1"].full = True
        host.send_next_to("p1")
        other = host.context.directory.records["p2"].endpoint
        host.context.statements.record_rest(other, EndpointStatement(rest_s=3.0))
        writer = await host.plain(LEAST)
        assert (writer.status, writer.retry_after_s) == (503, RETRY_AFTER_S)
        assert host.refusals() == {"no_room": 1}

    async def test_no_expected_time_is_short_enough(self) -> None:
        """Guards against requests that are sent although they must end late."""
        host = make_host()
        for record in host.context.directory.records.values():
            record.service_time_s, record.sampled_at = 40.0, time.monotonic()
        writer = await host.plain(URGENT)
        assert (writer.status, writer.retry_after_s) == (503, RETRY_AFTER_S)
        assert host.received == 0
        assert host.refusals() == {"no_room": 1}

    async def test_responses_show_the_service_time(self) -> None:
        host = make_host(count=1)
        record = host.context.directory.records["p1"]
        await host.plain(URGENT)
        assert record.service_time_s == pytest.approx(RESPONSE_S)

    async def test_rejections_show_no_service_time(self) -> None:
        """Guards against full endpoints that look fast since they reject quickly."""
        host = make_host(count=1, full=True)
        record = host.context.directory.records["p1"]
        before = record.service_time_s
        await host.plain(URGENT)
        assert record.service_time_s == before


class TestWithoutShortage:
    """Where room is not short, or overload control does not apply."""

    @pytest.mark.parametrize("applies", [True, False])
    async def test_least_urgent_is_retried(self, applies: bool) -> None:
        host = make_host()
        host.admission.is_short, host.admission.is_applied = False, applies
        host.endpoints["p1"].full = True
        host.send_next_to("p1")
        assert (await host.plain(LEAST)).body == b"p2"
        host.send_next_to("p1")
        assert (await host.stream(LEAST)).complete
        assert len(host.endpoints["p1"].received) == 2

    async def test_refusals_keep_their_reasons(self) -> None:
        """Where overload control does not apply."""
        host = make_host(full=True)
        host.admission.is_applied = False
        await host.plain(LEAST)
        assert host.refusals() == {"no_endpoint": 1}
        host.spend(0.0)
        writer = await host.plain(URGENT)
        assert writer.retry_after_s != RETRY_AFTER_S
        await host.stream(URGENT)
        assert host.refusals() == {"no_endpoint": 1, "retry_budget": 2}

    async def test_rejected_requests_are_refused_for_want_of_room(self) -> None:
        """Guards against other reasons in the moment before the shortage is known."""
        host = make_host(full=True)
        host.admission.is_short = False
        assert (await host.plain(LEAST)).retry_after_s == RETRY_AFTER_S
        assert host.received == 2
        host.spend(0.0)
        assert (await host.plain(URGENT)).retry_after_s == RETRY_AFTER_S
        assert (await host.stream(URGENT)).retry_after_s == RETRY_AFTER_S
        assert host.received == 4
        assert host.refusals() == {"no_room": 3}

    async def test_rejections_may_use_all_retries(self) -> None:
        """Guards against refusals after one rejection while another endpoint has room
        and the budget has retries left."""
        host = make_host()
        host.admission.is_short = False
        host.endpoints["p1"].full = True
        for _ in range(RETRIES):
            host.send_next_to("p1")
            assert (await host.plain(LEAST)).body == b"p2"

    async def test_service_time_does_not_refuse_where_it_does_not_apply(self) -> None:
        host = make_host()
        host.admission.is_applied = False
        for record in host.context.directory.records.values():
            record.service_time_s, record.sampled_at = 40.0, time.monotonic()
        assert (await host.plain(URGENT)).status == 200


class TestStreams:
    async def test_least_urgent_is_refused_after_one_rejection(self) -> None:
        host = make_host(full=True)
        writer = await host.stream(LEAST)
        assert (writer.status, writer.retry_after_s) == (503, RETRY_AFTER_S)
        assert host.received == 1
        assert host.refusals() == {"no_room": 1}
        assert (host.admission.sent, host.admission.rejected) == (1, 1)

    @pytest.mark.parametrize("resumable", [True, False])
    @pytest.mark.parametrize("count", [1, 2, 8])
    async def test_urgent_ones_do_not_wait_for_room(
        self, count: int, resumable: bool
    ) -> None:
        """Guards against streams that wait for seconds, until their callers give up,
        for an endpoint with room."""
        host = make_host(count, full=True)
        started_at = time.monotonic()
        writer = await host.stream(URGENT, resumable=resumable)
        assert (writer.status, writer.retry_after_s) == (503, RETRY_AFTER_S)
        assert time.monotonic() - started_at < OBJECTIVE_S / 8
        assert host.refusals() == {"no_room": 1}

    async def test_stream_is_not_kept_waiting_by_the_backoff_of_others(self) -> None:
        """Guards against streams that were never sent and wait for seconds: all
        endpoints are in their backoff again and again, as others are rejected."""
        host = make_host(full=True)
        records = host.context.directory.records
        started_at = time.monotonic()
        for name in records:
            records[name].backoff_deadline = started_at + 60.0
        writer = await host.stream(LEAST)
        assert (writer.status, writer.retry_after_s) == (503, RETRY_AFTER_S)
        assert time.monotonic() - started_at < OBJECTIVE_S / 8
        assert (host.received, host.refusals()) == (0, {"no_room": 1})

    async def test_wait_for_room_ends_at_any_time_of_the_clock(
        self, clock: VirtualClock
    ) -> None:
        """Guards against a search without an end: a remaining wait of one rounding
        error did not advance the clock."""
        for _ in range(50):
            clock.advance(0.1237)
            host = make_host(1, full=True)
            searches = 0
            choose_path = host.context.chooser.choose_path

            def count(*args: Any, choose: Any = choose_path, **options: Any) -> Any:
                nonlocal searches
                searches += 1
                assert searches < 1000
                return choose(*args, **options)

            host.context.chooser.choose_path = count
            await host.stream(URGENT)

    async def test_urgent_stream_is_retried_after_the_backoff(self) -> None:
        """Guards against refusals of urgent streams while an endpoint gets room."""
        host = make_host(1, full=True)
        async with anyio.create_task_group() as group:
            writer = FakeWriter()
            group.start_soon(host.stream, URGENT, writer)
            await anyio.sleep(0.1)
            host.endpoints["p1"].full = False
        assert (writer.status, len(writer.event_times)) == (200, EVENT_COUNT)

    async def test_missing_path_is_no_lack_of_room(self) -> None:
        """Guards against a reason that hides lost endpoints while room is short."""
        host = make_host(1)
        record = host.context.directory.records["p1"]
        record.backoff_deadline, record.failures = time.monotonic() + 60.0, 1
        assert (await host.stream(URGENT)).status == 503
        assert host.refusals() == {"no_path": 1}

    async def test_missing_path_is_waited_for(self) -> None:
        """Endpoints failed rather than being full. Guards against refusing new streams
        while room is short before a lost path is back."""
        host = make_host(1)
        record = host.context.directory.records["p1"]
        record.backoff_deadline, record.failures = time.monotonic() + 0.6, 1
        assert (await host.stream(URGENT)).complete
        assert host.refusals() == {}

    @pytest.mark.parametrize("headers", [[(b"rest-s", b"0.1")], [(b"leaving", b"1")]])
    async def test_other_rejections_are_retried(self, headers: Headers) -> None:
        host = make_host()
        first = host.endpoints["p1"]
        first.full, first.headers = True, headers
        host.send_next_to("p1")
        writer = await host.stream(LEAST)
        assert (writer.status, len(writer.event_times)) == (200, EVENT_COUNT)
        assert len(first.received) == 1
        assert host.admission.rejected == 0

    async def test_lost_endpoint_on_the_path_is_no_lack_of_room(self) -> None:
        """The first endpoint rejects the stream as the next one is lost. Guards against
        refusals for want of room, as a rejection looks the same if the next is full."""
        host = make_host(3)
        host.hold("p1", 0, 4)
        host.hold("p2", 4, 8)
        host.hold("p3", 4, 8)
        # The third endpoint is slow, so the path continues at the second one.
        host.context.directory.records["p3"].slowdown = 9.0
        host.endpoints["p1"].lost_next = host.endpoints["p2"]
        async with anyio.create_task_group() as group:
            writer = FakeWriter()
            group.start_soon(self._run_once, host, writer)
            await anyio.sleep(RESPONSE_S / 2)
            host.lose("p2")
        assert len(host.endpoints["p1"].received) == 2
        assert writer.complete
        assert len(writer.event_times) == EVENT_COUNT
        assert host.admission.rejected == 0

    async def _run_once(self, host: Host, writer: FakeWriter) -> None:
        await host.stream(LEAST, writer, resumable=False)

    async def test_started_stream_is_retried_until_there_is_room(self) -> None:
        """All endpoints reject the retries of a least urgent stream for seconds. Guards
        against giving it up: the caller's events would be lost."""
        host = make_host(event_count=40)
        writer = FakeWriter()
        async with anyio.create_task_group() as group:
            group.start_soon(host.stream, LEAST, writer)
            await anyio.sleep(0.2)
            assert writer.event_times
            for name, endpoint in host.endpoints.items():
                if endpoint.received:
                    host.lose(name)
                endpoint.full = True
            await anyio.sleep(3 * OBJECTIVE_S)
            for endpoint in host.endpoints.values():
                endpoint.full = False
        assert writer.complete
        assert len(writer.event_times) == 40
        assert host.refusals() == {}


class TestCompletion:
    """Guards against cost that counts as completed although it was not, or reversely:
    the capacity of the endpoints is derived from it."""

    async def test_completed_responses(self) -> None:
        host = make_host()
        await host.plain(URGENT)
        await host.stream(URGENT)
        assert [request.completed for request in host.requests] == [True, True]

    async def test_refusals_are_not_completed(self) -> None:
        host = make_host(full=True)
        await host.plain(URGENT)
        await host.stream(URGENT)
        assert [request.completed for request in host.requests] == [False, False]

    async def test_broken_requests_are_not_completed(self) -> None:
        host = make_host(1, broken=True)
        await host.plain(URGENT)
        await host.stream(URGENT, resumable=False)
        assert [request.completed for request in host.requests] == [False, False]

    async def test_interrupted_stream_is_not_completed(self) -> None:
        host = make_host(1, event_count=100)
        async with anyio.create_task_group() as group:
            group.start_soon(host.stream, URGENT)
            await anyio.sleep(0.2)
            assert not host.requests[0].completed
            group.cancel_scope.cancel()
        assert not host.requests[0].completed


class TestPriority:
    def priority(self, route: Any, customer: Any = None) -> int:
        owner = None if customer is None else Customer("choir", customer)
        service = Service(SERVICE, "/", 0)
        return make_request(
            route, RouteKind.IDEMPOTENT, service, customer=owner
        ).priority

    def test_customer_takes_precedence_over_the_route(self) -> None:
        assert self.priority(3) == 33
        assert self.priority(3, 7) == 73
        assert self.priority(3, 0) == 3
        assert self.priority(9, 0) < self.priority(0, 1)

    def test_route_decides_among_customers_of_equal_priority(self) -> None:
        """Guards against a flood of an unurgent route beside urgent requests."""
        assert self.priority(0, 1) < self.priority(2, 1)

    def test_unusable_priorities_do_not_stop_service(self) -> None:
        """Guards against requests that fail since their priority is invalid."""
        assert self.priority(-4) == 0
        assert self.priority(12) == 99
        assert self.priority(float("inf")) == 99
        assert self.priority("high") == 99
        assert self.priority(float("nan")) == 99
        assert self.priority(None) == 99
        assert self.priority(2, 12) == 92
        assert self.priority(2, "high") == 92

    async def test_endpoints_get_it_where_priorities_differ(self) -> None:
        host = make_host(1)
        await host.plain(MIDDLE)
        await host.stream(LEAST)
        host.admission.has_priorities = False
        await host.plain(MIDDLE)
        await host.stream(LEAST)
        sent = host.endpoints["p1"].received
        values = [re.findall(rb"urgency: (.*)\r\n", data, re.I) for data in sent]
        assert values == [[b"5"], [b"9"], [], []]

    async def test_callers_cannot_set_it(self) -> None:
        """Guards against callers that choose their priority at the endpoints."""
        service = Service(SERVICE, "/", 0)
        request = make_request(MIDDLE, RouteKind.IDEMPOTENT, service)
        endpoint = Endpoint("p1", SERVICE, "10.0.0.1", 80, "here")
        assert b"rgency" not in encode_upstream_request(request, DIALECT, endpoint)


class TestFloodThenLostEndpoint:
    """Load pattern: full endpoints reject many requests; one with streams is lost.

    For two seconds endpoints reject 200 requests a second, most of them the least
    urgent. Retries after rejections are possible for all that are not refused.
    """

    STREAMS = 24
    FLOOD = 400

    async def run(
        self, *, names_fault: bool
    ) -> tuple[Host, list[FakeWriter], list[FakeWriter]]:
        """Return the host, the running streams and the requests of the flood."""
        host = make_host(4, ratio=0.02, event_count=250, names_fault=names_fault)
        running = [FakeWriter() for _ in range(self.STREAMS)]
        flood = [FakeWriter() for _ in range(self.FLOOD)]
        priorities = (URGENT, MIDDLE, LEAST, LEAST)
        async with anyio.create_task_group() as group:
            for number, writer in enumerate(running):
                group.start_soon(host.stream, priorities[number % 3], writer)
            await anyio.sleep(0.2)
            for endpoint in host.endpoints.values():
                endpoint.full = True
            for number, writer in enumerate(flood):
                group.start_soon(host.stream, priorities[number % 4], writer)
                await anyio.sleep(0.005)
            await anyio.sleep(0.3)
            records = host.context.directory.records
            name = max(records, key=lambda name: records[name].in_flight)
            assert records[name].in_flight > 3
            for endpoint in host.endpoints.values():
                endpoint.full = False
            host.lose(name)
        return host, running, flood

    @pytest.mark.parametrize("names_fault", [True, False])
    async def test_streams_of_the_lost_endpoint_get_their_retries(
        self, names_fault: bool
    ) -> None:
        """Guards against rejections that use up the retries of running streams, which
        then pause until the window of the budget is over."""
        host, running, flood = await self.run(names_fault=names_fault)
        for writer in running:
            assert len(writer.event_times) == 250
            assert writer.longest_gap_s < 1.0
        for writer in flood:
            assert (writer.status, writer.retry_after_s) == (503, RETRY_AFTER_S)
        assert host.refusals() == {"no_room": self.FLOOD}
