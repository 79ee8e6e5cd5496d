"""Room of a service while endpoints pause."""

from __future__ import annotations

import pytest

from hemlockhall_router.policy.room import Room, plain_room, stream_room
from hemlockhall_router.process.directory import PAUSE_LIMIT_S, EndpointRecord
from hemlockhall_router.version.endpoint import Endpoint, LayerRange
from hemlockhall_standins.router.dialect import LAYERS, model

NOW = 100.0
OBJECTIVE_S = 2.0


def rooms(silent_since: float | None, *, ended: bool = False) -> list[Room]:
    """Return the plain and the stream room of two endpoints, one of them silent."""
    records = []
    for name in ("a", "b"):
        endpoint = Endpoint(
            name,
            "desk",
            "127.0.0.1",
            1,
            "here",
            slots=8,
            accelerator="big",
            layers=LayerRange(0, LAYERS),
        )
        records.append(EndpointRecord(endpoint, service_time_s=0.2))
    if silent_since is not None:
        records[0].down = True
        records[0].ended = ended
        records[0].down_changed_at = silent_since
    return [
        plain_room(records, OBJECTIVE_S, NOW),
        stream_room(records, model(), 8, NOW),
    ]


class TestPause:
    def test_a_pausing_endpoint_is_a_part_of_the_room(self) -> None:
        """Guards against refusals for want of room as the room of a pausing endpoint
        is gone while its requests stay in flight."""
        assert rooms(NOW - 0.5 * PAUSE_LIMIT_S) == rooms(None)

    @pytest.mark.parametrize(
        ("silent_s", "ended"), [(PAUSE_LIMIT_S, False), (0.5 * PAUSE_LIMIT_S, True)]
    )
    def test_one_that_does_not_go_on_is_not(self, silent_s: float, ended: bool) -> None:
        """Guards against requests that are admitted for an endpoint that is gone."""
        for room in rooms(NOW - silent_s, ended=ended):
            assert (room.endpoints, room.withheld) == (1, 1)
