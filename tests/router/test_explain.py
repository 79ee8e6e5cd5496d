"""From a request's id to its cause, by the lines that the host writes."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest
from loguru import logger

from hemlockhall_standins.router.dialect import RouteRow
from hemlockhall_standins.router.endpoint import ReceivedRequest
from hemlockhall_standins.router.harness import router_harness

pytestmark = pytest.mark.anyio

ROUTES = [RouteRow("/draft/", "stream", "pool", resumable=True)]
HOLDER = {"service": "pool", "accelerator": "unplanned"}


@pytest.fixture()
def lines() -> Iterator[list[dict[str, Any]]]:
    """The lines of the test, as fields."""
    found: list[dict[str, Any]] = []

    def keep(message: Any) -> None:
        record = message.record
        found.append({"event": record["message"], **record["extra"]})

    sink = logger.add(keep, level="DEBUG")
    yield found
    logger.remove(sink)


def of(lines: list[dict[str, Any]], **wanted: object) -> list[dict[str, Any]]:
    """Return the lines that have these fields."""
    found = []
    for line in lines:
        if all(line.get(key) == value for key, value in wanted.items()):
            found.append(line)
    return found


class TestRefusedForWantOfMemory:
    async def test_the_lines_lead_from_the_id_to_the_full_endpoint(
        self, lines: list[dict[str, Any]]
    ) -> None:
        """A caller gets 503 though endpoints are there. Two hold the layers;
        the second has no memory left and is named by the first. Whoever
        looks for the id finds the refusals, the path of each and the endpoint
        at fault with its load."""

        async def refuse(arrival: ReceivedRequest) -> None:
            await arrival.refuse(503, f"at-fault: 127.0.0.1:{second.port}\r\n")

        async with router_harness(ROUTES) as harness:
            second = await harness.start_endpoint("p2", refuse, layers=(4, 8), **HOLDER)
            await harness.start_endpoint("p1", refuse, layers=(0, 4), **HOLDER)
            answer = await harness.request("/draft/x", method="POST", request_id="q7")
        assert answer.head.status == 503
        given_up = of(lines, event="stream given up", request="q7")
        assert [line["reason"] for line in given_up] == ["endpoints_full"]
        broke = of(lines, event="stream broke", request="q7")
        assert broke
        for line in broke:
            assert line["reason"] == "rejected"
            assert line["path"] == ["p1", "p2"]
        full = of(lines, event="endpoint without room")
        assert {line["endpoint"] for line in full} == {"p2"}
        assert all(line["tokens"] >= 0 for line in full)


class TestUnknownKey:
    async def test_the_line_names_the_version_in_force(
        self, lines: list[dict[str, Any]]
    ) -> None:
        async with router_harness(ROUTES, keys={"k1": "choir"}) as harness:
            answer = await harness.request(
                "/draft/x", method="POST", headers={"Api-Key": "k2"}, request_id="q8"
            )
        assert answer.head.status == 401
        (refused,) = of(lines, event="request refused", request="q8")
        assert refused["reason"] == "unknown_key"
        in_force = of(lines, event="configuration in force")
        assert refused["version"] == in_force[-1]["version"]
