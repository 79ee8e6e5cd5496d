"""Decoding of the platform's rows and requests, and encoding of calls."""

from __future__ import annotations

import json

import msgspec
import pytest

from hemlockhall_platform.dialect import PlatformDialect
from hemlockhall_router.connection.message import RequestHead, ResponseHead
from hemlockhall_router.policy.priority import usable_priority
from hemlockhall_router.process.dialect import DecodeError, PromptSegments
from hemlockhall_router.version.endpoint import (
    Endpoint,
    EndpointStatement,
    LayerRange,
)
from hemlockhall_router.version.path import Path, Stage
from hemlockhall_router.version.routing import RouteKind

DIALECT = PlatformDialect()
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "Hall.example",
            "prefix": "/a/",
            "kind": "streaming",
            "timeoutMs": 20000,
            "latencyGoalMs": 500,
            "priority": 1,
            "split": [
                {"service": "pool", "weight": 90},
                {"service": "desk", "weight": 10},
            ],
            "maxAttempts": 2,
            "public": False,
            "sticky": True,
            "resumable": True,
            "gapTargetMs": 200,
        },
        {
            "name": "r-2",
            "host": "hall.example",
            "prefix": "/a/b/",
            "kind": "non_idempotent",
            "timeoutMs": 2000,
            "service": "desk",
            "unknown": {"is": "ignored"},
        },
    ],
    "services": [
        {
            "name": "pool",
            "healthPath": "/healthz",
            "maxConns": 1128,
            "engine": {
                "slots": 96,
                "kvBytes": 1180000,
                "models": [{"name": "m", "loadS": 14.0}],
                "step_ms": 0.85,
                "read_per_s": 196000.0,
                "loads_at_once": 6,
                "usual": {"prompt": 772, "answer": 167},
                "layers": 80,
                "layerMb": 1750.0,
                "activationBytes": 59000,
                "pipeMbps": 13000.0,
                "kinds": [
                    {"name": "t4", "mb": 14400.0, "pace": 15.0, "readFactor": 15.0}
                ],
            },
        },
        {"name": "desk", "healthPath": "/healthz", "maxConns": 100},
    ],
    "limits": {
        "maxHeaderBytes": 100,
        "maxBodyBytes": 200,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [{"name": "choir", "apiKeys": ["k1", "k2"], "priority": 1}],
}
SERVER = {
    "service": "pool",
    "address": "10.128.0.9:8080",
    "zone": "attica-a",
    "version": "v1",
    "slots": 96,
    "state": "ready",
    "coldLeftMs": 0,
    "kind": "t4",
    "born": 1767225600123,
    "sequence": 4,
    "layers": {"from": 0, "to": 4, "version": 1},
}


def encode(value: object) -> bytes:
    return json.dumps(value).encode()


class TestConfiguration:
    def test_routes_services_limits_and_customers_are_decoded(self) -> None:
        routing = DIALECT.decode_routing("config", encode(CONFIGURATION))
        assert routing is not None
        head = RequestHead(b"POST", b"/a/x?y", [(b"Host", b"HALL.example:80")])
        route = routing.match(head)
        assert route is not None
        assert (route.name, route.kind, route.resumable) == (
            "r-1",
            RouteKind.STREAM,
            True,
        )
        assert (route.timeout_s, route.latency_objective_s, route.max_event_gap_s) == (
            20,
            0.5,
            0.2,
        )
        assert [target.weight for target in route.targets] == [90, 10]
        head.target = b"/a/b/c"
        matched = routing.match(head)
        assert matched is not None
        assert (matched.kind, matched.retryable) == (RouteKind.NON_IDEMPOTENT, False)
        model = routing.services["pool"].model
        assert model is not None
        assert (model.layers, model.capacity("t4"), model.load_all_layers_s) == (
            80,
            8,
            14.0,
        )
        assert routing.services["desk"].model is None
        assert routing.limits.idle_s == 15
        assert routing.customers[b"k2"].name == "choir"
        assert routing.keys_required

    def test_no_key_is_required_without_a_list_of_customers(self) -> None:
        entry = {key: CONFIGURATION[key] for key in ("version", "routes", "services")}
        routing = DIALECT.decode_routing("config", encode(entry))
        assert routing is not None
        assert not routing.keys_required

    def test_other_rows_are_ignored(self) -> None:
        assert DIALECT.decode_routing("else", b"{}") is None

    @pytest.mark.parametrize("priority", ["high", None, 2.5, -3, 10**30, [1]])
    def test_an_unusable_priority_does_not_refuse_the_configuration(
        self, priority: object
    ) -> None:
        """Guards against hosts without a configuration for one value that is wrong."""
        entry = json.loads(json.dumps(CONFIGURATION))
        entry["routes"][0]["priority"] = priority
        entry["tenants"][0]["priority"] = priority
        routing = DIALECT.decode_routing("config", encode(entry))
        assert routing is not None
        route = routing.routes[b"hall.example"][b"/a/"]
        for value in (route.priority, routing.customers[b"k1"].priority):
            assert 0 <= usable_priority(value) <= 9

    @pytest.mark.parametrize("value", [b"", b"\xff", b"[]", b'{"version": "x"}'])
    def test_a_malformed_row_raises(self, value: bytes) -> None:
        with pytest.raises(DecodeError):
            DIALECT.decode_routing("config", value)


class TestEndpoints:
    def test_an_entry_is_decoded(self) -> None:
        endpoint = DIALECT.decode_endpoint("i-1", encode(SERVER))
        assert endpoint is not None
        assert endpoint.address == ("10.128.0.9", 8080)
        assert endpoint.layers == LayerRange(0, 4)
        assert endpoint.incarnation == ("i-1", 1767225600123)
        assert endpoint.order_count == 4
        assert not endpoint.draining

    @pytest.mark.parametrize(
        "change",
        [
            {"state": "sleeping"},
            {"state": None},
            {"address": "nowhere"},
            {"address": 5},
            {"service": None},
            {"zone": 3},
            {"layers": [1, 2]},
        ],
    )
    def test_an_invalid_entry_is_ignored(self, change: dict) -> None:
        assert DIALECT.decode_endpoint("i-1", encode({**SERVER, **change})) is None

    @pytest.mark.parametrize("field", ["service", "address", "state", "zone"])
    def test_an_entry_with_a_missing_field_is_ignored(self, field: str) -> None:
        entry = {key: value for key, value in SERVER.items() if key != field}
        assert DIALECT.decode_endpoint("i-1", encode(entry)) is None

    def test_a_report_is_decoded(self) -> None:
        body = {
            "busy": True,
            "sequence": 2,
            "kvUsed": 41000,
            "kvTotal": 90000,
            "pace": 3.0,
            "born": 5,
            "layers": {"from": 1, "to": 2, "version": 1},
            "stalled": [{"id": "r1", "address": "10.0.0.1:1"}],
        }
        report = DIALECT.decode_report(encode(body))
        assert (report.busy, report.order_count, report.slowdown) == (True, 2, 3.0)
        assert report.layers == LayerRange(1, 2)
        assert report.stalled == ("r1",)
        with pytest.raises(DecodeError):
            DIALECT.decode_report(b"no")


class TestCalls:
    def test_a_path_is_encoded(self) -> None:
        first = Endpoint("i-1", "pool", "10.1.64.9", 8080, "a")
        second = Endpoint("i-2", "pool", "10.2.64.3", 8081, "b")
        stages = (Stage(first, LayerRange(0, 20)), Stage(second, LayerRange(20, 80)))
        text = DIALECT.encode_path(Path(stages, 1.0))
        assert text == b"10.1.64.9:8080=0-20,10.2.64.3:8081=20-80"

    def test_an_order_states_the_expected_order_count(self) -> None:
        call = DIALECT.assign_layers_call(LayerRange(20, 31), 4, 0, immediate=False)
        body = msgspec.json.decode(call.body)
        assert body == {
            "operation": "place",
            "from": 20,
            "to": 31,
            "mode": "queue",
            "precondition": 4,
        }
        call = DIALECT.assign_layers_call(LayerRange(0, 1), 0, 9, immediate=True)
        body = msgspec.json.decode(call.body)
        assert body["fence"] == 9
        assert body["mode"] == "cutover"

    @pytest.mark.parametrize(
        ("value", "shared", "own"),
        [
            (b"5c1e:800,91bd3f06:410, e4402b7d:250", ("5c1e", "91bd3f06"), "e4402b7d"),
            (b"e4402b7d:250", (), "e4402b7d"),
            (b"5c1e07a2,:3,,e4402b7d:x", ("5c1e07a2",), "e4402b7d"),
            (b"", (), ""),
            (b",:\xff", (), ""),
        ],
    )
    def test_segments_of_a_prompt_are_decoded(
        self, value: bytes, shared: tuple[str, ...], own: str
    ) -> None:
        """Guards against a request that fails for a header that cannot be read."""
        head = RequestHead(b"POST", b"/x", [(b"X-Hemlockhall-Prompt-Prefix", value)])
        assert DIALECT.decode_prompt_segments(head) == PromptSegments(shared, own)

    def test_token_counts_are_decoded(self) -> None:
        name = b"X-Hemlockhall-Token-Counts"
        head = RequestHead(b"POST", b"/", [(name, b"1460,80")])
        tokens = DIALECT.decode_token_counts(head)
        assert tokens is not None
        assert (tokens.prompt, tokens.max_output) == (1460, 80)
        assert (
            DIALECT.decode_token_counts(RequestHead(b"POST", b"/", [(name, b"x")]))
            is None
        )
        assert DIALECT.decode_token_counts(RequestHead(b"POST", b"/", [])) is None


def statement(status: int, *headers: tuple[bytes, bytes]) -> EndpointStatement:
    return DIALECT.decode_statement(ResponseHead(status, b"", list(headers)))


REJECTED = (b"X-Hemlockhall-Not-Executed", b"1")
SIGNED = (b"X-Hemlockhall-Server-Stamp", b"s")


class TestStatement:
    def test_a_response_without_the_headers_states_nothing(self) -> None:
        assert statement(200, SIGNED) == EndpointStatement(executed=True)

    def test_a_decimal_number_is_a_request_limit(self) -> None:
        assert statement(200, (b"Server-Limit", b" 1.25")).request_limit == 1.25

    @pytest.mark.parametrize("value", [b"", b"many", b"-1", b"nan", b"inf", b"1_0"])
    def test_other_request_limits_are_refused(self, value: bytes) -> None:
        found = statement(200, (b"Server-Limit", value))
        assert found.request_limit is None
        assert "send a decimal number" in found.errors["request_limit"]

    @pytest.mark.parametrize("headers", [(), (REJECTED,), (SIGNED,)])
    def test_retry_after_of_a_503_asks_for_rest(self, headers: tuple) -> None:
        found = statement(503, (b"Retry-After", b"2.5"), *headers)
        assert found.rest_s == 2.5
        assert found.rejected

    @pytest.mark.parametrize(
        ("status", "headers", "rest_s"),
        [(429, (REJECTED,), 3.0), (429, (SIGNED,), 0.0), (200, (SIGNED,), 0.0)],
    )
    def test_retry_after_for_the_caller_asks_for_no_rest(
        self, status: int, headers: tuple, rest_s: float
    ) -> None:
        """Guards against one customer's 429 that keeps an endpoint from all others."""
        assert statement(status, (b"Retry-After", b"3"), *headers).rest_s == rest_s

    @pytest.mark.parametrize(
        "value",
        [b"", b"soon", b"-1", b"nan", b"inf", b"Wed, 21 Oct 2026 07:28:00 GMT"],
    )
    def test_a_malformed_retry_after_asks_for_no_rest(self, value: bytes) -> None:
        found = statement(503, (b"Retry-After", value), (b"Server-Leaving", b"1"))
        assert found.rest_s == 0.0
        assert "send a decimal number of seconds" in found.errors["rest"]
        assert found.leaving

    @pytest.mark.parametrize("status", [200, 404, 500, 503])
    def test_each_response_of_a_leaving_endpoint_says_so(self, status: int) -> None:
        assert statement(status, (b"Server-Leaving", b"1")).leaving

    @pytest.mark.parametrize(("value", "errors"), [(b"0", []), (b"no", ["leaving"])])
    def test_other_values_do_not_say_that_it_leaves(
        self, value: bytes, errors: list[str]
    ) -> None:
        found = statement(200, (b"Server-Leaving", value))
        assert not found.leaving
        assert list(found.errors) == errors
