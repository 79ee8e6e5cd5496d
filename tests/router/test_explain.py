"""Log lines explain a failed request, starting from its id."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest
from loguru import logger

from hemlockhall_standins.router.dialect import RouteRow, new_store
from hemlockhall_standins.router.endpoint import ReceivedRequest
from hemlockhall_standins.router.harness import router_harness

pytestmark = pytest.mark.anyio

ROUTES = [RouteRow("/draft/", "stream", "pool", resumable=True)]
HOLDER = {"service": "pool", "accelerator": "unplanned"}


@pytest.fixture()
def lines() -> Iterator[list[dict[str, Any]]]:
    """Fields of the log lines written during the test."""
    records: list[dict[str, Any]] = []

    def keep(message: Any) -> None:
        record = message.record
        records.append({"event": record["message"], **record["extra"]})

    sink = logger.add(keep, level="DEBUG")
    yield records
    logger.remove(sink)


def matching(lines: list[dict[str, Any]], **fields: object) -> list[dict[str, Any]]:
    """Return the lines with these field values."""
    records = []
    for line in lines:
        if all(line.get(key) == value for key, value in fields.items()):
            records.append(line)
    return records


class TestOutOfMemory:
    async def test_log_lines_link_the_request_id_to_the_full_endpoint(
        self, lines: list[dict[str, Any]]
    ) -> None:
        """A caller gets 503 because the second endpoint of the path is out of
        memory. The lines with the request id give the reason and the path, and
        another line names the endpoint without room and its load."""

        async def respond_503(received: ReceivedRequest) -> None:
            await received.refuse(503, f"at-fault: 127.0.0.1:{second.port}\r\n")

        async with router_harness(ROUTES) as harness:
            second = await harness.start_endpoint(
                "p2", respond_503, layers=(4, 8), **HOLDER
            )
            await harness.start_endpoint("p1", respond_503, layers=(0, 4), **HOLDER)
            response = await harness.request("/draft/x", method="POST", request_id="q7")
        assert response.head.status == 503
        given_up = matching(lines, event="stream given up", request="q7")
        assert [line["reason"] for line in given_up] == ["endpoints_full"]
        broke = matching(lines, event="stream broke", request="q7")
        assert broke
        for line in broke:
            assert line["reason"] == "rejected"
            assert line["path"] == ["p1", "p2"]
        full = matching(lines, event="endpoint without room")
        assert {line["endpoint"] for line in full} == {"p2"}
        assert all(line["tokens"] >= 0 for line in full)


class TestUnknownKey:
    async def test_the_refusal_states_the_configuration_version(
        self, lines: list[dict[str, Any]]
    ) -> None:
        async with router_harness(ROUTES, keys={"k1": "choir"}) as harness:
            response = await harness.request(
                "/draft/x", method="POST", headers={"Api-Key": "k2"}, request_id="q8"
            )
        assert response.head.status == 401
        (refused,) = matching(lines, event="request refused", request="q8")
        assert refused["reason"] == "unknown_key"
        in_force = matching(lines, event="configuration in force")
        assert refused["version"] == in_force[-1]["version"]
        assert refused["age_ms"] >= 0


class TestConfigurationSource:
    async def test_log_lines_tell_rows_of_the_store_from_those_of_a_host(
        self, lines: list[dict[str, Any]]
    ) -> None:
        """A host without the store has its configuration from another one: the line
        names that host, the row's version and the longest delay."""

        async def respond(received: ReceivedRequest) -> None:
            await received.answer(200, b"")

        async with router_harness(ROUTES) as harness:
            await harness.start_endpoint("p1", respond, **HOLDER)
            address, second_store = new_store()
            second_store.down = True
            await harness.add_router(address=address)
        in_force = matching(lines, event="configuration in force")
        assert [line["source"] for line in in_force] == ["store", harness.listens[0]]
        assert in_force[0]["row_version"] == in_force[1]["row_version"]
        assert all(line["delay_ms"] >= 0 for line in in_force)

    async def test_a_call_without_a_response_is_logged_and_counted(
        self, lines: list[dict[str, Any]]
    ) -> None:
        """A long poll on a dead connection ends by its deadline only: its line and
        its counter differ from those of a store that refuses calls."""
        async with router_harness(ROUTES) as harness:
            harness.store.silence()
            await harness.wait_until(
                lambda: matching(lines, event="store call failed", table="routing")
            )
            harness.store.down = True
            await harness.wait_until(
                lambda: matching(lines, outcome="refused", table="routing")
            )
            metrics = harness.routers[0]._metrics.render().decode()
        (first, *_) = matching(lines, event="store call failed", table="routing")
        assert first["outcome"] == "timed_out"
        assert first["elapsed_ms"] > 0
        assert 'store_watch_calls_total{label="routing_timed_out"} 1\n' in metrics
        assert 'hemlockhall_table_age_seconds{label="routing"}' in metrics
