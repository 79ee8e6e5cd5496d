"""What another writer may put into rows, reports, headers and responses."""

from __future__ import annotations

import base64
import json
from typing import Any

import msgspec
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from hemlockhall_platform.dialect import PlatformDialect
from hemlockhall_platform.store import _decode_response, _decode_rows
from hemlockhall_router.connection.message import RequestHead, ResponseHead
from hemlockhall_router.membership.message import LayerUpdate, Load, endpoint_key
from hemlockhall_router.process.dialect import DecodeError, TokenCounts
from hemlockhall_router.process.store import StoreNoAnswerError
from hemlockhall_router.version.endpoint import Endpoint, EndpointReport, LayerRange
from hemlockhall_router.version.routing import RoutingConfig
from hemlockhall_standins.foreign import DEPTH, NUMBERS, foreign_documents

NESTED = b"[" * DEPTH + b"]" * DEPTH
ENTRY: dict[str, Any] = {
    "service": "desk",
    "address": "127.0.0.1:8080",
    "zone": "z-a",
    "version": "1",
    "slots": 6,
    "state": "ready",
    "coldLeftMs": 0,
    "sequence": 3,
    "born": 1_790_000_000_000,
    "kind": "t4",
    "layers": {"from": 0, "to": 8, "version": 1},
}
REPORT: dict[str, Any] = {
    "stage": "both",
    "busy": False,
    "sequence": 2,
    "queued": 1,
    "active": 12,
    "kvUsed": 41_000,
    "kvTotal": 90_000,
    "born": 1_790_000_000_000,
    "pace": 1.0,
    "layers": {"from": 0, "to": 8, "version": 1},
    "stalled": [{"id": "9c41", "address": "127.0.0.1:8080"}],
}
ENGINE: dict[str, Any] = {
    "slots": 96,
    "kvBytes": 1_180_000,
    "models": [{"name": "m", "loadS": 14.0}],
    "step_ms": 0.85,
    "read_per_s": 196_000.0,
    "loads_at_once": 6,
    "usual": {"prompt": 772, "answer": 167},
    "layers": 80,
    "layerMb": 1750.0,
    "activationBytes": 59_000,
    "pipeMbps": 13_000.0,
    "kinds": [{"name": "t4", "mb": 14_400.0, "pace": 15.0, "readFactor": 15.0}],
}
CONFIGURATION: dict[str, Any] = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "hall.example",
            "prefix": "/a/",
            "kind": "streaming",
            "timeoutMs": 20_000,
            "latencyGoalMs": 500,
            "priority": 1,
            "split": [{"service": "pool", "weight": 90}],
            "maxAttempts": 2,
        }
    ],
    "services": [{"name": "pool", "maxConns": 10, "engine": ENGINE}],
    "limits": {"maxHeaderBytes": 100, "idleTimeoutMs": 15_000},
    "tenants": [{"name": "t", "apiKeys": ["k"], "priority": 1}],
}
ROWS: dict[str, Any] = {
    "ver": 9,
    "nowMs": 12.5,
    "hasMore": False,
    "rows": [{"table": "servers", "part": "", "key": "a", "value": "eA==", "ver": 9}],
}


def encodable(layers: LayerRange | None, order_count: int, started_ms: int) -> None:
    """Encode what messages to other hosts take from an endpoint."""
    layers = layers or LayerRange(0, 0)
    assert layers.size >= 0
    update = LayerUpdate(1, started_ms, order_count, layers.first, layers.end)
    msgspec.msgpack.encode(update)


class TestEndpointEntries:
    @pytest.mark.parametrize(
        "value",
        [
            b'{"service":"desk","version":%b}' % NESTED,
            json.dumps(ENTRY).encode()[:-1] + b',"unknown":%b}' % NESTED,
            json.dumps({**ENTRY, "address": "127.0.0.1:808\u00b2"}).encode(),
            json.dumps({**ENTRY, "address": "127.0.0.1:" + "8" * 5000}).encode(),
            json.dumps({**ENTRY, "address": "127.0.0.1:0"}).encode(),
            json.dumps({**ENTRY, "address": "127.0.0.1:99999"}).encode(),
            json.dumps({**ENTRY, "slots": -1}).encode(),
            json.dumps({**ENTRY, "sequence": 2**64}).encode(),
            json.dumps({**ENTRY, "layers": {"from": 8, "to": 0}}).encode(),
        ],
    )
    def test_one_that_cannot_be_used_is_ignored(self, value: bytes) -> None:
        """Guards against an entry of another writer that ends the router."""
        assert PlatformDialect().decode_endpoint("a", value) is None

    def test_an_id_with_control_characters_is_ignored(self) -> None:
        """Guards against headers that an id smuggles into requests."""
        value = json.dumps(ENTRY).encode()
        assert PlatformDialect().decode_endpoint("a\r\nb: c", value) is None
        assert PlatformDialect().decode_endpoint("a", value) is not None

    @given(foreign_documents(ENTRY))
    def test_any_is_ignored_or_can_be_used(self, value: bytes) -> None:
        """Guards against entries that raise, and values that no message can carry."""
        endpoint = PlatformDialect().decode_endpoint("a", value)
        if endpoint is None:
            return
        assert isinstance(endpoint, Endpoint)
        assert 0 < endpoint.port < 65_536
        assert b"\r" not in endpoint.host.encode()
        encodable(endpoint.layers, endpoint.order_count, endpoint.started_ms)
        msgspec.msgpack.encode((endpoint.slots, endpoint.warmup_left_ms))


class TestConfigurations:
    @given(foreign_documents(CONFIGURATION))
    def test_any_is_decoded_or_rejected(self, value: bytes) -> None:
        """Guards against a configuration that ends the router."""
        try:
            routing = PlatformDialect().decode_routing("config", value)
        except DecodeError:
            return
        assert isinstance(routing, RoutingConfig)
        msgspec.msgpack.encode(routing.version)

    def test_nesting_in_an_unknown_field_keeps_the_last_one(self) -> None:
        """Guards against a nested value that ends the router."""
        value = json.dumps(CONFIGURATION).encode()[:-1] + b',"unknown":%b}' % NESTED
        with pytest.raises(DecodeError, match="RecursionError"):
            PlatformDialect().decode_routing("config", value)


class TestReports:
    @given(foreign_documents(REPORT))
    @example(json.dumps(REPORT).encode()[:-1] + b',"unknown":%b}' % NESTED)
    def test_any_is_decoded_or_rejected(self, value: bytes) -> None:
        """Guards against a report that ends the router, or that no message carries."""
        try:
            report = PlatformDialect().decode_report(value)
        except DecodeError:
            return
        assert isinstance(report, EndpointReport)
        encodable(report.layers, report.order_count, report.started_ms)
        msgspec.msgpack.encode((report.queued, report.active, report.memory_used))


class TestPages:
    @pytest.mark.parametrize(
        "value",
        [
            "",
            "=",
            "e",
            "\u00e4",
            base64.b64encode(b"\xff\xfe").decode(),
            base64.b64encode(NESTED).decode(),
            base64.b64encode(b"[" * 100_000).decode(),
            base64.b64encode(json.dumps({**ENTRY, "slots": 10**30}).encode()).decode(),
            base64.b64encode(json.dumps({**ENTRY, "address": 7}).encode()).decode(),
        ],
    )
    def test_the_entries_beside_an_odd_one_are_used(self, value: str) -> None:
        """Guards against a page of the store that is lost for one value in it."""
        sound = base64.b64encode(json.dumps(ENTRY).encode()).decode()
        rows = []
        for key, text in (("a", sound), ("b", value), ("c", sound)):
            rows.append({**ROWS["rows"][0], "key": key, "value": text})
        raw = json.dumps({**ROWS, "rows": rows}).encode()
        used = []
        for row in _decode_rows(_decode_response(raw).rows):
            if PlatformDialect().decode_endpoint(row.key, row.value) is not None:
                used.append(row.key)
        assert used == ["a", "c"]


class TestStoreResponses:
    @given(foreign_documents(ROWS))
    @example(json.dumps(ROWS).encode()[:-1] + b',"unknown":%b}' % NESTED)
    def test_any_is_decoded_or_counts_as_lost(self, raw: bytes) -> None:
        """Guards against a response of the store that ends the router."""
        try:
            response = _decode_response(raw)
        except StoreNoAnswerError:
            return
        msgspec.msgpack.encode([response.ver, *(row.ver for row in response.rows)])


HEADER_VALUES = st.one_of(
    st.sampled_from([number.encode() for number in NUMBERS]),
    st.sampled_from([b"", b",", b"\xb2", b"1_0", b" 5 ", b"nan", b"inf"]),
    st.binary(max_size=12),
)


class TestHeaders:
    @given(HEADER_VALUES, HEADER_VALUES)
    def test_token_counts_can_be_sent_to_other_hosts(
        self, prompt: bytes, output: bytes
    ) -> None:
        """Guards against a caller's number that no message to other hosts carries."""
        value = prompt + b"," + output
        head = RequestHead(b"POST", b"/", [(b"X-Hemlockhall-Token-Counts", value)])
        counts = PlatformDialect().decode_token_counts(head)
        if counts is None:
            return
        assert counts.prompt >= 0 and counts.max_output >= 0
        tokens = 10_000 * (counts.prompt + counts.max_output)
        msgspec.msgpack.encode(Load(endpoint_key("a"), 10_000, tokens, tokens, 0))

    def test_token_counts_are_read(self) -> None:
        head = RequestHead(b"POST", b"/", [(b"X-Hemlockhall-Token-Counts", b"760,80")])
        assert PlatformDialect().decode_token_counts(head) == TokenCounts(760, 80)

    @given(HEADER_VALUES)
    def test_segments_and_statements_are_read_or_ignored(self, value: bytes) -> None:
        """Guards against a header that fails its request."""
        dialect = PlatformDialect()
        names = (b"X-Hemlockhall-Prompt-Prefix", b"Server-Limit", b"Retry-After")
        headers = [(name, value) for name in names]
        dialect.decode_prompt_segments(RequestHead(b"POST", b"/", headers))
        dialect.decode_statement(ResponseHead(503, b"", headers))
