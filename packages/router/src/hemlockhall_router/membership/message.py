"""Datagrams between hosts: MessagePack with a protocol version."""

from __future__ import annotations

import zlib
from typing import Annotated

import msgspec

from hemlockhall_router.connection.decoding import (
    MAX_INTEGER,
    DecodeError,
    Integer,
    LayerNumber,
    decoding,
    parse_address,
)

# Incremented with each change of the messages that an older host would misread.
PROTOCOL_VERSION = 1
# Longer datagrams are fragmented by IP, and lost with any of their fragments. Not
# enforced: the limits of lists in ``exchange`` and ``tally`` keep messages short.
MAX_DATAGRAM_BYTES = 1400
MAX_REQUEST_KEY = 2**32 - 1

# Requests per second.
Rate = Annotated[float, msgspec.Meta(ge=0, le=MAX_INTEGER)]


class MessageError(Exception):
    """A datagram is malformed, has another protocol version or an invalid address."""


class Contact(msgspec.Struct, frozen=True, array_like=True):
    """Address and state of a host, as passed on between hosts.

    ``address`` is ``ip:port``, for UDP and TCP. ``capacity`` is its processor capacity
    times its link bandwidth in Mbit/s; hosts with more rank first. ``boot`` identifies
    the run of its process, ``leaving`` is true while it shuts down, and ``age_ms`` is
    the time since it was last seen, as known to the sender. ``store_unreachable`` is
    true while the store does not answer it. ``demand`` is the level of its callers'
    demand, by which hosts share the permits of endpoints with a request limit.
    """

    name: str
    address: str
    data_centre: str
    capacity: Integer
    boot: str
    leaving: bool = False
    age_ms: Integer = 0
    store_unreachable: bool = False
    demand: Integer = 0


class TableVersion(msgspec.Struct, frozen=True, array_like=True):
    """Which changes of the store a host's cached table has.

    ``last_change`` is the version of the newest change in it and ``complete_to`` the
    version up to which no change is missing. The table had all changes of the store
    ``age_ms`` ago: the store responded then, to the host or to one that passed it
    on.
    """

    table: str
    last_change: Integer
    complete_to: Integer
    age_ms: Integer


class Load(msgspec.Struct, frozen=True, array_like=True):
    """Requests in flight at an endpoint, which is identified by its key.

    ``tokens`` are their prompt and expected output tokens, ``prefill_tokens`` those of
    the requests without an event of the response so far. The last event of any
    response from the endpoint arrived ``event_age_ms`` ago. Endpoints whose keys
    collide are not told apart.
    """

    endpoint: Integer
    requests: Integer
    tokens: Integer
    prefill_tokens: Integer
    event_age_ms: Integer


class LayerUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Layers of an endpoint, newer than its entry in the store.

    ``started_ms`` identifies the run of its process (Unix milliseconds), and
    ``order_count`` counts the planner's orders that it began; the higher count is
    newer. The layers are ``first`` up to but not including ``end``.
    """

    endpoint: Integer
    started_ms: Integer
    order_count: Integer
    first: LayerNumber
    end: LayerNumber


class RetryUsage(msgspec.Struct, frozen=True, array_like=True):
    """Requests and retries of a service in the window of the retry budget.

    ``retries`` also counts retries that are unused, but that the retry budget reserves
    for a host; ``taken`` counts those that were taken. ``recent`` are the requests of
    the last half of the window; a host of an older version sends none.
    """

    service: Integer
    requests: Integer
    retries: Integer
    taken: Integer = 0
    recent: Integer = 0


class RetryRecord(msgspec.Struct, frozen=True, array_like=True):
    """Retries of a service that were taken from the retry budget, by time.

    ``counts`` begins with that of the bucket ``first`` of the shared clock.
    """

    service: Integer
    first: Integer
    counts: list[Integer]


class RequestLimit(msgspec.Struct, frozen=True, array_like=True):
    """Requests per second that an endpoint takes from all hosts together.

    ``started_ms`` identifies the run of its process. The response that stated the limit
    arrived at ``stated_at_ms`` of the shared clock. A ``rate`` of None means that the
    endpoint stated none any more.
    """

    endpoint: Integer
    started_ms: Integer
    rate: Rate | None
    stated_at_ms: Integer


class LeavingNotice(msgspec.Struct, frozen=True, array_like=True):
    """An endpoint that stated in a response that it shuts down.

    ``started_ms`` identifies the run of its process.
    """

    endpoint: Integer
    started_ms: Integer


class CrashEvidence(msgspec.Struct, frozen=True, array_like=True):
    """An endpoint that crashed under a request with a prompt segment.

    ``segment`` is a 64-bit key of the segment at a service, whose 32-bit key is
    ``service``. ``crash`` is a 32-bit key of the incarnation that crashed, ``request``
    one that repeats of the request have too. It crashed at ``at_ms`` of the shared
    clock. ``responded`` is true if the head of a response to the request had arrived.
    ``prompt`` has the keys of all segments of the prompt that may have caused it; it is
    empty if that is only one, or a request, and from a host of an older version.
    """

    segment: int
    service: Integer
    crash: Integer
    request: Integer
    at_ms: Integer
    responded: bool
    prompt: tuple[int, ...] = ()


class EndedRequests(msgspec.Struct, frozen=True, array_like=True):
    """Requests under which an endpoint crashed, at ``at_ms`` of the shared clock.

    ``crash`` is a 32-bit key of the incarnation that crashed, and ``requests`` are
    those of the requests, which repeats of them have too. Each had been sent to the
    endpoint as many milliseconds before as ``waited_ms`` has at its place, or at a time
    that is not known if it has none there.
    """

    crash: Integer
    at_ms: Integer
    requests: list[Integer]
    waited_ms: list[Integer] = []


class SegmentRuns(msgspec.Struct, frozen=True, array_like=True):
    """Attempts of one host with a prompt segment, in one bucket of the shared clock.

    The host made ``attempts`` with the segment and ``all_attempts`` at the service that
    got events for some time or ended with a crash. Under ``crashed`` requests with the
    segment an endpoint crashed for the first time. ``crashes`` has the keys of all
    crashes under its attempts; each came so many milliseconds after the begin of the
    bucket as ``offsets_ms`` has at its place, and the endpoint was known to be alive so
    many before as ``waited_ms`` has, if anything. ``at_crashes`` has how many attempts
    of the host were at each endpoint. No figure ever falls.
    """

    segment: int
    service: Integer
    host: Integer
    bucket: Integer
    attempts: Integer
    all_attempts: Integer
    crashed: Integer
    crashes: list[Integer]
    offsets_ms: list[Integer]
    waited_ms: list[Integer] = []
    at_crashes: list[Integer] = []


class SegmentVerdict(msgspec.Struct, frozen=True, array_like=True):
    """Whether requests with a prompt segment, or with one content, are refused.

    A quarantine rests on crashes since ``since_ms`` and ends at ``expires_at_ms`` of
    the shared clock. A segment that is released has ``expires_at_ms`` equal to
    ``decided_at_ms``. Of two verdicts the one with the higher ``rank`` holds.
    ``companions`` are segments that the crashed requests had, too. A request is refused
    only if it has all of them, apart from those that an endpoint served since
    ``since_ms``.

    If ``passes`` is not 0, endpoints do not crash under each request, or not before
    some events: it takes so many whole responses at one host to end the quarantine.

    If ``since_ms`` is the same as well, a host served the segment then and knows of no
    quarantine: earlier evidence does not count.
    """

    segment: int
    since_ms: Integer
    decided_at_ms: Integer
    expires_at_ms: Integer
    companions: tuple[int, ...] = ()
    passes: Integer = 0

    @property
    def quarantined(self) -> bool:
        """Whether it is a quarantine, which may have ended, and no release."""
        return self.expires_at_ms > self.decided_at_ms

    @property
    def on_request(self) -> bool:
        """Whether it is on a content: its key has 32 bits, that of a segment 64."""
        return self.segment <= MAX_REQUEST_KEY

    @property
    def clears(self) -> bool:
        """Whether it only ends evidence, and no quarantine."""
        return self.since_ms == self.decided_at_ms == self.expires_at_ms

    @property
    def rank(self) -> tuple[int, bool, int]:
        """The order of verdicts on a segment: a later one ranks higher."""
        return (self.decided_at_ms, not self.quarantined, -len(self.companions))


class ClassDemand(msgspec.Struct, frozen=True, array_like=True):
    """What callers ask for in the requests of one priority.

    ``offered`` is in cost units per second.
    """

    priority: Integer
    offered: Integer


class ServiceDemand(msgspec.Struct, frozen=True, array_like=True):
    """Demand for a service and use of its endpoints, for overload control.

    ``service`` is its key. ``in_flight`` is in cost units, which are tokens or
    requests, and ``completed`` in cost units per second. ``sent`` counts the requests
    to endpoints in the last second, and ``rejected`` those that an endpoint without
    room rejected. ``classes`` are in order of their priorities.
    """

    service: Integer
    in_flight: Integer
    completed: Integer
    sent: Integer
    rejected: Integer
    classes: list[ClassDemand]


class CustomerDemand(msgspec.Struct, frozen=True, array_like=True):
    """What a customer asks for of a service without enough room, at one priority.

    ``customer`` is its key, and ``offered`` is in cost units per second. Customers
    whose keys collide are not told apart.
    """

    service: Integer
    priority: Integer
    customer: Integer
    offered: Integer


class DataCentre(msgspec.Struct, frozen=True, array_like=True):
    """Aggregated state of the hosts of a data centre.

    ``active_hosts`` counts the hosts that are not leaving, and ``lowest_name`` is
    the lowest of their names, or empty. ``fence`` is the highest fencing token among
    them of the lease of the planner, the host that assigns layers to endpoints, or 0.
    ``store_stable`` is true if at least one of them has been connected to the store
    for some time without a failed call. ``usage`` is the sum of their retry budget
    usage, ``demand_weight`` that of the weights of their demand.
    """

    name: str
    hosts: Integer
    active_hosts: Integer
    lowest_name: str
    fence: Integer
    store_stable: bool
    usage: list[RetryUsage] = []
    demand_weight: Integer = 0


class Message(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Fields of all messages.

    ``loads`` are the sender's own, or the sums over the hosts whose reports and
    summaries it passes on. ``down`` holds keys of endpoints that do not answer,
    ``presumed_draining`` keys of those that refuse requests though they have room, as
    if draining, without a notice in the store, ``layer_updates`` layers that are newer
    than the entry in the store, and ``contacts`` hosts that the receiver may not know.

    All kinds of messages end with ``clock_ms``, the sender's shared clock, ``limits``,
    the request limits of endpoints, ``leaving``, endpoints that shut down without a
    notice in the store, ``demands`` and ``customers``, the figures for overload control
    (the sender's own or sums, as with ``loads``), ``demand_hosts``, the number of hosts
    whose figures these two include, ``crashes``, the evidence against prompt segments,
    ``verdicts`` on them, and ``retries``, those taken from the retry budget by the
    sender, or by the hosts of its data centre in a summary. Digests and summaries also
    have ``history``, the retries of all hosts, which is complete for the last
    ``covered_ms``. The last fields are ``ended``, the requests under which endpoints
    crashed, and ``runs``, the attempts for and against prompt segments. A host of an
    older version does not send them all, and one that does not send ``demand_hosts``
    counts as 0 hosts.
    """

    protocol: Integer = PROTOCOL_VERSION
    sender: Contact
    table_versions: list[TableVersion]
    loads: list[Load]
    down: list[Integer]
    presumed_draining: list[Integer]
    layer_updates: list[LayerUpdate]
    contacts: list[Contact]


class Report(Message, frozen=True, array_like=True, kw_only=True, tag="report"):
    """Report of a host about itself, sent to the hubs of its data centre."""

    fence: Integer
    store_stable: bool
    usage: list[RetryUsage] = []
    clock_ms: Integer = 0
    limits: list[RequestLimit] = []
    leaving: list[LeavingNotice] = []
    demands: list[ServiceDemand] = []
    customers: list[CustomerDemand] = []
    demand_hosts: Integer = 0
    crashes: list[CrashEvidence] = []
    verdicts: list[SegmentVerdict] = []
    retries: list[RetryRecord] = []
    ended: list[EndedRequests] = []
    runs: list[SegmentRuns] = []


class Digest(Message, frozen=True, array_like=True, kw_only=True, tag="digest"):
    """State of all hosts and data centres, sent to a host of the same data centre.

    It is sent in response to a report, and by hubs at once after a change. A hub leaves
    out the loads that the receiver reported; other hosts may include them. No host
    includes the receiver's ``demands`` and ``customers``. ``report_ms`` is the
    ``clock_ms`` of the receiver's latest report that is included; a host of an older
    version sends 0.
    """

    data_centres: list[DataCentre]
    clock_ms: Integer = 0
    limits: list[RequestLimit] = []
    leaving: list[LeavingNotice] = []
    demands: list[ServiceDemand] = []
    customers: list[CustomerDemand] = []
    demand_hosts: Integer = 0
    crashes: list[CrashEvidence] = []
    verdicts: list[SegmentVerdict] = []
    history: list[RetryRecord] = []
    covered_ms: Integer = 0
    ended: list[EndedRequests] = []
    report_ms: Integer = 0
    runs: list[SegmentRuns] = []


class Summary(Message, frozen=True, array_like=True, kw_only=True, tag="summary"):
    """State of the sender's data centre, sent to the hubs of the other ones."""

    data_centre: DataCentre
    clock_ms: Integer = 0
    limits: list[RequestLimit] = []
    leaving: list[LeavingNotice] = []
    demands: list[ServiceDemand] = []
    customers: list[CustomerDemand] = []
    demand_hosts: Integer = 0
    crashes: list[CrashEvidence] = []
    verdicts: list[SegmentVerdict] = []
    retries: list[RetryRecord] = []
    history: list[RetryRecord] = []
    covered_ms: Integer = 0
    ended: list[EndedRequests] = []
    runs: list[SegmentRuns] = []


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Report | Digest | Summary)


def encode(message: Message) -> bytes:
    """Return a message in MessagePack."""
    return _encoder.encode(message)


def decode(data: bytes) -> Report | Digest | Summary:
    """Return the message in a datagram; raise ``MessageError`` if it is unusable."""
    try:
        with decoding("datagram"):
            message = _decoder.decode(data)
    except DecodeError as exc:
        raise MessageError(str(exc)) from exc
    if message.protocol != PROTOCOL_VERSION:
        raise MessageError(
            f"protocol {message.protocol} is not {PROTOCOL_VERSION}; "
            "update the older host"
        )
    for contact in (message.sender, *message.contacts):
        if parse_address(contact.address) is None:
            raise MessageError(
                f"not an IPv4 address and port: {contact.address!r:.60}; "
                "correct listen.hosts in the settings of the host that has it"
            )
    return message


def endpoint_key(endpoint_id: str) -> int:
    """Return the 32-bit key of an endpoint in messages, the CRC-32 of its id."""
    return zlib.crc32(endpoint_id.encode())


def service_key(name: str) -> int:
    """Return the 32-bit key of a service in messages, the CRC-32 of its name."""
    return zlib.crc32(name.encode())


def customer_key(name: str) -> int:
    """Return the 32-bit key of a customer in messages, the CRC-32 of its name."""
    return zlib.crc32(name.encode())


__all__ = [
    "MAX_DATAGRAM_BYTES",
    "PROTOCOL_VERSION",
    "ClassDemand",
    "Contact",
    "CrashEvidence",
    "CustomerDemand",
    "TableVersion",
    "Digest",
    "LayerUpdate",
    "LeavingNotice",
    "Load",
    "Message",
    "MessageError",
    "DataCentre",
    "EndedRequests",
    "Report",
    "RequestLimit",
    "RetryRecord",
    "SegmentRuns",
    "SegmentVerdict",
    "ServiceDemand",
    "Summary",
    "RetryUsage",
    "customer_key",
    "decode",
    "encode",
    "endpoint_key",
    "service_key",
]
