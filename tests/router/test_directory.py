"""What this host knows of the endpoints."""

from __future__ import annotations

import time
from dataclasses import replace

import msgspec
import pytest

from hemlockhall_router.membership.message import LayerUpdate, Load, endpoint_key
from hemlockhall_router.process.directory import (
    BUSY_BACKOFF_S,
    FAILURE_BACKOFF_S,
    LOW_MEMORY_FRACTION,
    REMOTE_EVENT_DELAY_S,
    WARMUP_S,
    Directory,
    EndpointRecord,
)
from hemlockhall_router.process.setting import BoundsSection
from hemlockhall_router.process.store import Row
from hemlockhall_router.process.timing import Timing
from hemlockhall_router.version.endpoint import EndpointReport, LayerRange
from hemlockhall_standins.router.dialect import EndpointRow, StandinDialect

TOTAL = 1000


@pytest.fixture()
def directory() -> Directory:
    made = Directory(
        StandinDialect().decode_endpoint, lambda: 0.0, Timing(BoundsSection())
    )
    value = msgspec.json.encode(EndpointRow("pool", 1))
    made.apply_rows([Row("p1", value, 1)])
    return made


class TestLeavingOut:
    def test_failures_at_the_same_time_count_once(self, directory: Directory) -> None:
        """All callers come back at once after a loss of power, and an endpoint
        refuses ten of them within milliseconds. Each refusal doubled the time
        for which it was left out, so that no path was left for four seconds
        and everybody was refused."""
        for _ in range(10):
            directory.record_failure("p1", "refused")
        assert (
            directory.records["p1"].backoff_deadline
            <= time.monotonic() + FAILURE_BACKOFF_S
        )

    def test_failures_one_after_another_count_more(self, directory: Directory) -> None:
        record = directory.records["p1"]
        for _ in range(3):
            record.backoff_deadline = 0.0
            directory.record_failure("p1", "broken")
        assert record.backoff_deadline > time.monotonic() + FAILURE_BACKOFF_S

    def test_an_endpoint_without_room_is_left_out_briefly(
        self, directory: Directory
    ) -> None:
        record = directory.records["p1"]
        for _ in range(5):
            record.backoff_deadline = 0.0
            directory.record_busy("p1")
        assert record.backoff_deadline <= time.monotonic() + BUSY_BACKOFF_S
        assert record.failures == 0


def report(
    used: int, *, orders: int = 0, layers: LayerRange | None = None
) -> EndpointReport:
    return EndpointReport(False, orders, 0, 1, used, TOTAL, layers, 1)


class TestLeavingWithoutAWord:
    @pytest.fixture()
    def record(self, directory: Directory) -> EndpointRecord:
        record = directory.records["p1"]
        record.layers_changed_at -= 2 * WARMUP_S
        return record

    def test_one_that_refuses_though_it_has_room_is_left_out(
        self, directory: Directory, record: EndpointRecord
    ) -> None:
        """Guards against paths through endpoints that leave while the store is away."""
        directory.record_refusal("p1")
        directory.apply_report("p1", report(int(TOTAL * LOW_MEMORY_FRACTION / 2)))
        assert directory.usable("pool") == []
        assert directory.live_endpoints("pool") == []
        assert directory.presumed_draining_keys() == [endpoint_key("p1")]

    def test_one_that_is_full_is_not(
        self, directory: Directory, record: EndpointRecord
    ) -> None:
        """Guards against a layout that gives up endpoints under load."""
        directory.record_refusal("p1")
        directory.apply_report("p1", report(int(TOTAL * 0.6)))
        assert directory.usable("pool") == [record]

    def test_one_that_tells_no_memory_is_not(
        self, directory: Directory, record: EndpointRecord
    ) -> None:
        directory.record_refusal("p1")
        directory.apply_report("p1", replace(report(0), memory_total=0))
        assert directory.usable("pool") == [record]

    def test_one_that_has_just_changed_is_not(self, directory: Directory) -> None:
        directory.record_refusal("p1")
        directory.apply_report("p1", report(0))
        assert directory.usable("pool") == [directory.records["p1"]]

    def test_what_another_host_found_is_not_passed_on_as_its_own(
        self, directory: Directory, record: EndpointRecord
    ) -> None:
        """Guards against two hosts that keep an endpoint out for each other."""
        directory.apply_presumed_draining([endpoint_key("p1")])
        assert directory.usable("pool") == []
        assert directory.presumed_draining_keys() == []

    def test_a_new_run_of_it_is_used_at_once(
        self, directory: Directory, record: EndpointRecord
    ) -> None:
        directory.apply_presumed_draining([endpoint_key("p1")])
        row = msgspec.json.encode(EndpointRow("pool", 1, born=2))
        directory.apply_rows([Row("p1", row, 2)])
        assert directory.usable("pool") == [record]


class TestFacts:
    def test_layers_that_another_host_knows_are_taken(
        self, directory: Directory
    ) -> None:
        """Guards against requests along layers that were given up in an outage."""
        key = endpoint_key("p1")
        directory.apply_layer_updates([LayerUpdate(key, 1, 3, 4, 8)])
        assert directory.records["p1"].endpoint.layers == LayerRange(4, 8)
        assert directory.layer_updates() == [LayerUpdate(key, 1, 3, 4, 8)]

    @pytest.mark.parametrize("fact", [(1, 3, 0, 4), (1, 2, 0, 4), (2, 9, 0, 4)])
    def test_older_ones_and_those_of_another_run_are_not(
        self, directory: Directory, fact: tuple[int, int, int, int]
    ) -> None:
        """Guards against a layout that goes back to an older one."""
        key = endpoint_key("p1")
        directory.apply_layer_updates([LayerUpdate(key, 1, 3, 4, 8)])
        directory.apply_layer_updates([LayerUpdate(key, *fact)])
        assert directory.records["p1"].endpoint.layers == LayerRange(4, 8)

    def test_an_older_entry_of_the_store_reverts_nothing(
        self, directory: Directory
    ) -> None:
        directory.apply_report("p1", report(0, orders=3, layers=LayerRange(4, 8)))
        row = EndpointRow("pool", 1, orders=2, layers=(0, 8))
        directory.apply_rows([Row("p1", msgspec.json.encode(row), 2)])
        assert directory.records["p1"].endpoint.layers == LayerRange(4, 8)
        row = EndpointRow("pool", 1, orders=3, layers=(4, 8))
        directory.apply_rows([Row("p1", msgspec.json.encode(row), 3)])
        assert directory.layer_updates() == []


class TestElsewhere:
    def test_an_endpoint_that_serves_others_is_not_down(
        self, directory: Directory
    ) -> None:
        """Guards against endpoints left out for a fault of this host's own link."""
        directory.set_down("p1", down=True)
        record = directory.records["p1"]
        directory.set_remote_loads({record.key: Load(record.key, 1, 100, 0, 50)})
        assert record.down
        record.down_at -= 2 * REMOTE_EVENT_DELAY_S
        directory.set_remote_loads({record.key: Load(record.key, 1, 100, 0, 50)})
        assert not record.down
        assert record.load == 1


class TestReusedAddress:
    def restart(self, directory: Directory) -> None:
        """Let an endpoint appear anew at the address of one that crashed."""
        directory.set_down("p1", down=True)
        value = msgspec.json.encode(EndpointRow("pool", 1, born=7))
        directory.apply_rows([Row("p2", value, 2)])

    def test_an_old_run_gets_no_requests_once_its_address_has_a_new_one(
        self, directory: Directory
    ) -> None:
        """Guards against paths with one address twice, which engines refuse."""
        self.restart(directory)
        directory.set_down("p1", down=False)
        assert directory.usable("pool") == [directory.records["p2"]]

    def test_an_old_run_is_given_no_orders_once_its_address_has_a_new_one(
        self, directory: Directory
    ) -> None:
        """Guards against layers that are counted as held by a run that ended."""
        self.restart(directory)
        directory.set_down("p1", down=False)
        assert [member.id for member in directory.live_endpoints("pool")] == ["p2"]

    def test_a_report_of_the_new_run_does_not_revive_the_old_one(
        self, directory: Directory
    ) -> None:
        """Guards against an old entry that takes over the layers of the new run."""
        directory.records["p1"].endpoint = replace(
            directory.records["p1"].endpoint, started_ms=3
        )
        answer = replace(report(0, orders=1, layers=LayerRange(0, 4)), started_ms=7)
        directory.set_down("p1", down=True)
        directory.apply_report("p1", answer)
        self.restart(directory)
        directory.set_down("p1", down=False)
        assert directory.usable("pool") == [directory.records["p2"]]

    def test_an_entry_that_comes_late_does_not_replace_a_newer_run(
        self, directory: Directory
    ) -> None:
        """Guards against a delayed entry that takes the live run out of service."""
        directory.records["p1"].endpoint = replace(
            directory.records["p1"].endpoint, started_ms=9
        )
        self.restart(directory)
        directory.set_down("p1", down=False)
        assert directory.usable("pool") == [directory.records["p1"]]

    def test_a_new_run_under_the_old_id_is_used(self, directory: Directory) -> None:
        """Guards against an endpoint that restarts under its id and stays unused."""
        self.restart(directory)
        directory.apply_rows([Row("p2", b"", 3, True)])
        value = msgspec.json.encode(EndpointRow("pool", 1, born=8))
        directory.apply_rows([Row("p1", value, 4)])
        directory.set_down("p1", down=False)
        assert directory.usable("pool") == [directory.records["p1"]]


class TestMayRun:
    def test_an_endpoint_that_is_known_may_run(self, directory: Directory) -> None:
        endpoint = directory.records["p1"].endpoint
        assert directory.may_still_run(endpoint)
        directory.set_down("p1", down=True)
        assert directory.may_still_run(endpoint)

    def test_an_endpoint_that_left_without_a_word_may_run(
        self, directory: Directory
    ) -> None:
        """Guards against more runs than a route allows while a removed one serves."""
        endpoint = directory.records["p1"].endpoint
        directory.apply_rows([Row("p1", b"", 2, True)])
        assert directory.may_still_run(endpoint)

    def test_an_endpoint_that_was_down_when_its_entry_went_has_ended(
        self, directory: Directory
    ) -> None:
        """Guards against streams that are held to an endpoint that crashed."""
        endpoint = directory.records["p1"].endpoint
        directory.set_down("p1", down=True)
        directory.apply_rows([Row("p1", b"", 2, True)])
        assert not directory.may_still_run(endpoint)

    def test_a_run_whose_address_has_a_newer_one_has_ended(
        self, directory: Directory
    ) -> None:
        """Guards against streams that are held to a run that was replaced."""
        endpoint = directory.records["p1"].endpoint
        value = msgspec.json.encode(EndpointRow("pool", 1, born=7))
        directory.apply_rows([Row("p2", value, 2)])
        assert not directory.may_still_run(endpoint)
        directory.apply_rows([Row("p1", b"", 3, True)])
        assert not directory.may_still_run(endpoint)
