"""Endpoint directory: backoff, presumed draining, layers, replaced addresses."""

from __future__ import annotations

import time
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest
from loguru import logger

from hemlockhall_router.membership.message import LayerUpdate, Load, endpoint_key
from hemlockhall_router.process import directory as directory_module
from hemlockhall_router.process.directory import (
    BUSY_BACKOFF_S,
    FAILURE_BACKOFF_S,
    INITIAL_LATENCY_S,
    LOW_MEMORY_FRACTION,
    PAUSE_LIMIT_S,
    REMOTE_EVENT_DELAY_S,
    WARMUP_S,
    Directory,
    EndpointRecord,
)
from hemlockhall_router.process.setting import BoundsSection
from hemlockhall_router.process.store import Row
from hemlockhall_router.process.timing import Timing
from hemlockhall_router.request.active_stream import ActiveStream
from hemlockhall_router.request.reason import RetryReason
from hemlockhall_router.version.endpoint import EndpointReport, LayerRange
from hemlockhall_standins.router.dialect import EndpointRow, StandinDialect

TOTAL = 1000


@pytest.fixture()
def directory() -> Directory:
    result = Directory(
        StandinDialect().decode_endpoint, lambda: 0.0, Timing(BoundsSection())
    )
    value = msgspec.json.encode(EndpointRow("pool", 1))
    result.apply_rows([Row("p1", value, 1)])
    return result


class TestBackoff:
    def test_concurrent_failures_count_once(self, directory: Directory) -> None:
        """Guards against a backoff that doubles with each of ten refusals within
        milliseconds, as callers reconnect together: no path was left for four seconds.
        """
        for _ in range(10):
            directory.record_failure("p1", "refused")
        assert (
            directory.records["p1"].backoff_deadline
            <= time.monotonic() + FAILURE_BACKOFF_S
        )

    def test_consecutive_failures_lengthen_backoff(self, directory: Directory) -> None:
        record = directory.records["p1"]
        for _ in range(3):
            record.backoff_deadline = 0.0
            directory.record_failure("p1", "broken")
        assert record.backoff_deadline > time.monotonic() + FAILURE_BACKOFF_S

    def test_full_endpoint_has_constant_short_backoff(
        self, directory: Directory
    ) -> None:
        record = directory.records["p1"]
        for _ in range(5):
            record.backoff_deadline = 0.0
            directory.record_busy("p1")
        assert record.backoff_deadline <= time.monotonic() + BUSY_BACKOFF_S
        assert record.failures == 0


def report(
    used: int, *, order_count: int = 0, layers: LayerRange | None = None
) -> EndpointReport:
    return EndpointReport(False, order_count, 0, 1, used, TOTAL, layers, 1)


class TestPresumedDraining:
    @pytest.fixture()
    def record(self, directory: Directory) -> EndpointRecord:
        record = directory.records["p1"]
        record.layers_changed_at -= 2 * WARMUP_S
        return record

    def test_refusal_with_free_memory_presumes_draining(
        self, directory: Directory, record: EndpointRecord
    ) -> None:
        """Guards against paths through endpoints that drain in a store outage."""
        directory.record_refusal("p1")
        directory.apply_report("p1", report(int(TOTAL * LOW_MEMORY_FRACTION / 2)))
        assert directory.usable("pool") == []
        assert directory.live_endpoints("pool") == []
        assert directory.presumed_draining_keys() == [endpoint_key("p1")]

    def test_full_endpoint_is_not_presumed_draining(
        self, directory: Directory, record: EndpointRecord
    ) -> None:
        """Guards against a layout that loses endpoints under load."""
        directory.record_refusal("p1")
        directory.apply_report("p1", report(int(TOTAL * 0.6)))
        assert directory.usable("pool") == [record]

    def test_loaded_endpoint_is_not_presumed_draining(
        self, directory: Directory, record: EndpointRecord
    ) -> None:
        """Guards against full endpoints that are replaced because they report only the
        memory of requests that they cannot preempt."""
        record.endpoint = replace(record.endpoint, layers=LayerRange(0, 8))
        record.tokens, record.remote_tokens = TOTAL // 24, TOTAL // 24
        directory.record_refusal("p1")
        directory.apply_report("p1", report(0, layers=LayerRange(0, 8)))
        assert directory.usable("pool") == [record]
        record.remote_tokens = 0
        directory.record_refusal("p1")
        directory.apply_report("p1", report(0, layers=LayerRange(0, 8)))
        assert directory.usable("pool") == []

    def test_endpoint_without_memory_report_is_not_presumed_draining(
        self, directory: Directory, record: EndpointRecord
    ) -> None:
        directory.record_refusal("p1")
        directory.apply_report("p1", replace(report(0), memory_total=0))
        assert directory.usable("pool") == [record]

    def test_endpoint_in_warmup_is_not_presumed_draining(
        self, directory: Directory
    ) -> None:
        directory.record_refusal("p1")
        directory.apply_report("p1", report(0))
        assert directory.usable("pool") == [directory.records["p1"]]

    def test_remote_detection_is_not_reported_as_local(
        self, directory: Directory, record: EndpointRecord
    ) -> None:
        """Guards against two hosts that renew each other's detection forever."""
        directory.apply_presumed_draining([endpoint_key("p1")])
        assert directory.usable("pool") == []
        assert directory.presumed_draining_keys() == []

    def test_restart_ends_presumed_draining(
        self, directory: Directory, record: EndpointRecord
    ) -> None:
        directory.apply_presumed_draining([endpoint_key("p1")])
        row = msgspec.json.encode(EndpointRow("pool", 1, born=2))
        directory.apply_rows([Row("p1", row, 2)])
        assert directory.usable("pool") == [record]


class TestLayerUpdates:
    def test_layer_update_of_another_host_is_applied(
        self, directory: Directory
    ) -> None:
        """Guards against paths through layers that were dropped in a store outage."""
        key = endpoint_key("p1")
        directory.apply_layer_updates([LayerUpdate(key, 1, 3, 4, 8)])
        assert directory.records["p1"].endpoint.layers == LayerRange(4, 8)
        assert directory.layer_updates() == [LayerUpdate(key, 1, 3, 4, 8)]

    @pytest.mark.parametrize("update", [(1, 3, 0, 4), (1, 2, 0, 4), (2, 9, 0, 4)])
    def test_older_or_foreign_layer_update_is_ignored(
        self, directory: Directory, update: tuple[int, int, int, int]
    ) -> None:
        """Guards against known layers that revert to older ones."""
        key = endpoint_key("p1")
        directory.apply_layer_updates([LayerUpdate(key, 1, 3, 4, 8)])
        directory.apply_layer_updates([LayerUpdate(key, *update)])
        assert directory.records["p1"].endpoint.layers == LayerRange(4, 8)

    def test_older_store_entry_does_not_revert_layers(
        self, directory: Directory
    ) -> None:
        directory.apply_report("p1", report(0, order_count=3, layers=LayerRange(4, 8)))
        row = EndpointRow("pool", 1, orders=2, layers=(0, 8))
        directory.apply_rows([Row("p1", msgspec.json.encode(row), 2)])
        assert directory.records["p1"].endpoint.layers == LayerRange(4, 8)
        row = EndpointRow("pool", 1, orders=3, layers=(4, 8))
        directory.apply_rows([Row("p1", msgspec.json.encode(row), 3)])
        assert directory.layer_updates() == []


class TestRemoteLoads:
    def test_remote_event_marks_endpoint_up(self, directory: Directory) -> None:
        """Guards against endpoints left out for a network fault of this host."""
        directory.set_down("p1", down=True)
        record = directory.records["p1"]
        directory.set_remote_loads({record.key: Load(record.key, 1, 100, 0, 50)})
        assert record.down
        record.down_changed_at -= 2 * REMOTE_EVENT_DELAY_S
        directory.set_remote_loads({record.key: Load(record.key, 1, 100, 0, 50)})
        assert not record.down
        assert record.load == 1


class TestServiceTime:
    def test_first_response_sets_it(self, directory: Directory) -> None:
        """Guards against an assumed service time that still counts for long."""
        record = directory.records["p1"]
        assert record.service_time_s == INITIAL_LATENCY_S
        directory.record_service_time("p1", 1.5, 1)
        assert record.service_time_s == 1.5
        directory.record_service_time("p1", 1.0, 1)
        assert 1.0 < record.service_time_s < 1.5

    @pytest.mark.parametrize("seconds", [float("nan"), float("inf"), -1.0])
    def test_impossible_time_is_ignored(
        self, directory: Directory, seconds: float
    ) -> None:
        directory.record_service_time("p1", seconds, 1)
        directory.record_service_time("unknown", 1.0, 1)
        assert directory.records["p1"].service_time_s == INITIAL_LATENCY_S
        assert directory.records["p1"].sampled_at == float("-inf")

    def test_restart_makes_endpoint_untried(self, directory: Directory) -> None:
        """Guards against a new process that is avoided for the slowness of the old."""
        record = directory.records["p1"]
        directory.record_service_time("p1", 3.0, 1)
        value = msgspec.json.encode(EndpointRow("pool", 1, born=2))
        directory.apply_rows([Row("p1", value, 2)])
        assert record.service_time_s == INITIAL_LATENCY_S
        assert record.sampled_at == float("-inf")
        directory.record_service_time("p1", 3.0, 1)
        directory.apply_report("p1", replace(report(0), started_ms=3))
        assert record.service_time_s == INITIAL_LATENCY_S
        assert record.sampled_at == float("-inf")

    def test_endpoint_that_is_back_gets_a_trial_request(
        self, directory: Directory
    ) -> None:
        """Guards against all requests at once to an endpoint that is slow at first."""
        directory.record_service_time("p1", 0.2, 1)
        directory.set_down("p1", down=True)
        directory.set_down("p1", down=False)
        assert directory.records["p1"].sampled_at == float("-inf")

    def test_requests_that_time_out_show_a_slow_endpoint(
        self, directory: Directory
    ) -> None:
        """Guards against an endpoint that is chosen as before after each backoff, as it
        is too slow to respond at all."""
        record = directory.records["p1"]
        directory.record_service_time("p1", 0.1, 1)
        record.begin_waiting(time.monotonic() - 1.0)
        directory.record_failure("p1", "silent")
        assert record.service_time_s > 0.2

    def test_slow_endpoint_is_logged_once(
        self, directory: Directory, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against late requests whose cause no log line names, and against a
        line for each of them."""
        now = 1000.0
        clock = SimpleNamespace(monotonic=lambda: now)
        monkeypatch.setattr(directory_module, "time", clock)
        for name in ("p2", "p3"):
            value = msgspec.json.encode(EndpointRow("pool", 1))
            directory.apply_rows([Row(name, value, 1)])
        lines: list[tuple[str, str, float]] = []

        def keep(message: Any) -> None:
            extra = message.record["extra"]
            event = message.record["message"]
            lines.append((event, extra["endpoint"], extra["median_ms"]))

        sink = logger.add(keep)
        for service_time_s in [0.1] * 20 + [1.0] * 20 + [0.1] * 20:
            now += 0.3
            for name in ("p1", "p2"):
                directory.record_service_time(name, 0.1, 1)
            directory.record_service_time("p3", service_time_s, 1)
        logger.remove(sink)
        assert lines == [
            ("endpoint slow", "p3", 100.0),
            ("endpoint fast again", "p3", 100.0),
        ]

    def test_failure_at_once_does_not_show_a_fast_endpoint(
        self, directory: Directory
    ) -> None:
        """Guards against a broken endpoint that attracts requests."""
        directory.record_service_time("p1", 0.1, 1)
        directory.records["p1"].begin_waiting(time.monotonic())
        directory.record_failure("p1", "reset")
        assert directory.records["p1"].service_time_s == 0.1


class TestReusedAddress:
    def restart(self, directory: Directory) -> None:
        """Add an endpoint at the address of one that crashed."""
        directory.set_down("p1", down=True)
        value = msgspec.json.encode(EndpointRow("pool", 1, born=7))
        directory.apply_rows([Row("p2", value, 2)])

    def test_replaced_incarnation_gets_no_requests(self, directory: Directory) -> None:
        """Guards against paths that contain an address twice, which engines refuse."""
        self.restart(directory)
        directory.set_down("p1", down=False)
        assert directory.usable("pool") == [directory.records["p2"]]

    def test_replaced_incarnation_gets_no_orders(self, directory: Directory) -> None:
        """Guards against layers that are counted at an incarnation that ended."""
        self.restart(directory)
        directory.set_down("p1", down=False)
        assert [member.id for member in directory.live_endpoints("pool")] == ["p2"]

    def test_report_of_new_incarnation_does_not_revive_old_one(
        self, directory: Directory
    ) -> None:
        """Guards against an old entry that gets the layers of the new incarnation."""
        directory.records["p1"].endpoint = replace(
            directory.records["p1"].endpoint, started_ms=3
        )
        new_report = replace(
            report(0, order_count=1, layers=LayerRange(0, 4)), started_ms=7
        )
        directory.set_down("p1", down=True)
        directory.apply_report("p1", new_report)
        self.restart(directory)
        directory.set_down("p1", down=False)
        assert directory.usable("pool") == [directory.records["p2"]]

    def test_late_entry_does_not_replace_newer_incarnation(
        self, directory: Directory
    ) -> None:
        """Guards against a delayed entry that replaces the live incarnation."""
        directory.records["p1"].endpoint = replace(
            directory.records["p1"].endpoint, started_ms=9
        )
        self.restart(directory)
        directory.set_down("p1", down=False)
        assert directory.usable("pool") == [directory.records["p1"]]

    def test_restart_under_old_id_is_used(self, directory: Directory) -> None:
        """Guards against an endpoint that stays unused after a restart."""
        self.restart(directory)
        directory.apply_rows([Row("p2", b"", 3, True)])
        value = msgspec.json.encode(EndpointRow("pool", 1, born=8))
        directory.apply_rows([Row("p1", value, 4)])
        directory.set_down("p1", down=False)
        assert directory.usable("pool") == [directory.records["p1"]]


class TestMayStillRun:
    def test_known_endpoint_may_still_run_even_if_down(
        self, directory: Directory
    ) -> None:
        endpoint = directory.records["p1"].endpoint
        assert directory.may_still_run(endpoint)
        directory.set_down("p1", down=True)
        assert directory.may_still_run(endpoint)

    def test_removed_endpoint_may_still_run(self, directory: Directory) -> None:
        """Guards against too many concurrent attempts while a removed one runs on."""
        endpoint = directory.records["p1"].endpoint
        directory.apply_rows([Row("p1", b"", 2, True)])
        assert directory.may_still_run(endpoint)

    def test_endpoint_removed_while_down_has_ended(self, directory: Directory) -> None:
        """Guards against streams that are bound to an endpoint that crashed."""
        endpoint = directory.records["p1"].endpoint
        directory.set_down("p1", down=True, ended=True)
        directory.apply_rows([Row("p1", b"", 2, True)])
        assert not directory.may_still_run(endpoint)

    def test_endpoint_removed_while_it_pauses_may_still_run(
        self, directory: Directory
    ) -> None:
        """Guards against too many concurrent attempts while a silent one runs on."""
        endpoint = directory.records["p1"].endpoint
        directory.set_down("p1", down=True)
        directory.apply_rows([Row("p1", b"", 2, True)])
        assert directory.may_still_run(endpoint)

    def test_endpoint_removed_after_a_long_silence_has_ended(
        self, directory: Directory
    ) -> None:
        """Guards against streams that are bound to a host without power."""
        endpoint = directory.records["p1"].endpoint
        directory.set_down("p1", down=True)
        directory.records["p1"].down_changed_at -= PAUSE_LIMIT_S
        directory.apply_rows([Row("p1", b"", 2, True)])
        assert not directory.may_still_run(endpoint)

    def test_replaced_incarnation_has_ended(self, directory: Directory) -> None:
        """Guards against streams that are bound to a replaced incarnation."""
        endpoint = directory.records["p1"].endpoint
        value = msgspec.json.encode(EndpointRow("pool", 1, born=7))
        directory.apply_rows([Row("p2", value, 2)])
        assert not directory.may_still_run(endpoint)
        directory.apply_rows([Row("p1", b"", 3, True)])
        assert not directory.may_still_run(endpoint)


class TestSilence:
    """Endpoints that do not answer, of which the process has not ended."""

    def test_one_keeps_its_layers_for_the_length_of_a_pause(
        self, directory: Directory
    ) -> None:
        """Guards against layers that move to other endpoints for a short pause."""
        endpoint = directory.records["p1"].endpoint
        directory.set_down("p1", down=True)
        assert endpoint in directory.live_endpoints("pool")
        version = directory.version
        directory.end_pause("p1")
        assert endpoint in directory.live_endpoints("pool")
        directory.records["p1"].down_changed_at -= PAUSE_LIMIT_S
        directory.end_pause("p1")
        assert endpoint not in directory.live_endpoints("pool")
        assert directory.version > version

    def test_one_that_ended_loses_its_layers_at_once(
        self, directory: Directory
    ) -> None:
        endpoint = directory.records["p1"].endpoint
        directory.set_down("p1", down=True, ended=True)
        assert endpoint not in directory.live_endpoints("pool")

    def test_silence_is_no_crash(self, directory: Directory) -> None:
        """Guards against prompts that are blamed for a pause of an endpoint."""
        endpoint = directory.records["p1"].endpoint
        directory.set_down("p1", down=True)
        directory.records["p1"].down_changed_at -= PAUSE_LIMIT_S
        assert not directory.has_crashed(endpoint)
        directory.set_down("p1", down=True, ended=True)
        assert directory.has_crashed(endpoint)

    def test_one_that_ended_stays_so_until_it_answers(
        self, directory: Directory
    ) -> None:
        """Guards against a crash that is forgotten as the machine then is silent."""
        endpoint = directory.records["p1"].endpoint
        directory.set_down("p1", down=True, ended=True)
        directory.set_down("p1", down=True)
        assert directory.has_crashed(endpoint)
        directory.set_down("p1", down=False)
        assert not directory.has_crashed(endpoint)

    def test_streams_may_stay_on_one(self, directory: Directory) -> None:
        """Guards against streams that leave an endpoint which goes on serving them."""
        stream = ActiveStream(["p1"], 1.0, movable=True)
        directory.records["p1"].active_streams.add(stream)
        directory.set_down("p1", down=True)
        assert stream._move_request is not None
        assert stream._move_request.still_served
        assert stream._move_request.reason is RetryReason.SILENT
        directory.set_down("p1", down=True, ended=True)
        assert not stream._move_request.still_served
