"""Choice of endpoints and paths while some endpoints pause."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import pytest

from hemlockhall_router.policy.data_centre_link import DataCentreLinks
from hemlockhall_router.process.directory import PAUSE_LIMIT_S
from hemlockhall_router.version.endpoint import LayerRange
from hemlockhall_router.version.routing import Accelerator
from hemlockhall_standins.router.pool import (
    add_endpoint,
    large_model,
    make_chooser,
    make_directory,
    service,
)

if TYPE_CHECKING:
    from hemlockhall_router.process.chooser import Chooser
    from hemlockhall_router.process.directory import Directory, EndpointRecord

MODEL = large_model({"big": Accelerator(400_000.0, 2.4, 3.2)})
SERVICE = service(MODEL)
WHOLE = LayerRange(0, 80)
FRONT, BACK = LayerRange(0, 40), LayerRange(40, 80)


@pytest.fixture()
def directory() -> Directory:
    return make_directory()


@pytest.fixture()
def chooser(directory: Directory) -> Chooser:
    links = DataCentreLinks(lambda: 1)
    return make_chooser(directory, "here", links, lambda: 1)


def add(directory: Directory, name: str, layers: LayerRange = WHOLE) -> EndpointRecord:
    return add_endpoint(directory, name, "here", "big", layers)


def path_ids(chooser: Chooser, *excluded: str, pausing: bool = True) -> list[str]:
    """Return the ids on the chosen path, none if there is no path."""
    path = chooser.choose_path(SERVICE, set(excluded), pausing=pausing)
    return [endpoint.id for endpoint in path.endpoints] if path is not None else []


def withhold(directory: Directory, record: EndpointRecord, cause: str) -> None:
    """Let a pausing endpoint be one that must not get requests."""
    if cause == "ended":
        directory.set_down(record.endpoint.id, down=True, ended=True)
    elif cause == "dark":
        record.down_changed_at = time.monotonic() - PAUSE_LIMIT_S
    elif cause == "leaving":
        record.leaving_deadline = float("inf")
    else:
        record.replaced = True


class TestPath:
    def test_pausing_endpoint_is_used_if_no_other_is_left(
        self, directory: Directory, chooser: Chooser
    ) -> None:
        """Guards against requests that are refused for a pause of all endpoints."""
        add(directory, "a1")
        directory.set_down("a1", down=True)
        assert path_ids(chooser) == ["a1"]

    def test_pausing_endpoint_is_not_used_beside_one_that_answers(
        self, directory: Directory, chooser: Chooser
    ) -> None:
        """Guards against requests that wait for an endpoint though another is free,
        here one that is far slower."""
        add(directory, "a1")
        add(directory, "a2").slowdown = 50.0
        directory.set_down("a1", down=True)
        for _ in range(20):
            assert path_ids(chooser) == ["a2"]

    def test_path_has_as_few_pausing_endpoints_as_possible(
        self, directory: Directory, chooser: Chooser
    ) -> None:
        """Guards against a path that waits for two endpoints instead of one."""
        add(directory, "front", FRONT).slowdown = 50.0
        add(directory, "front-2", FRONT)
        add(directory, "back", BACK)
        for name in ("front-2", "back"):
            directory.set_down(name, down=True)
        for _ in range(20):
            assert path_ids(chooser) == ["front", "back"]

    def test_backoff_does_not_count_during_the_pause(
        self, directory: Directory, chooser: Chooser
    ) -> None:
        """Guards against refusals for the backoff that the silence itself began."""
        add(directory, "a1")
        directory.record_failure("a1", "no answer")
        directory.set_down("a1", down=True)
        assert path_ids(chooser) == ["a1"]

    @pytest.mark.parametrize("cause", ["ended", "dark", "leaving", "replaced"])
    def test_endpoints_that_do_not_go_on_are_not_used(
        self, directory: Directory, chooser: Chooser, cause: str
    ) -> None:
        """Guards against requests that wait for an endpoint that is gone."""
        record = add(directory, "a1")
        directory.set_down("a1", down=True)
        withhold(directory, record, cause)
        assert path_ids(chooser) == []

    def test_excluded_endpoints_are_not_used(
        self, directory: Directory, chooser: Chooser
    ) -> None:
        """Guards against a request that goes back to an endpoint that failed it."""
        add(directory, "a1")
        directory.set_down("a1", down=True)
        assert path_ids(chooser, "a1") == []

    def test_silent_stream_gets_no_other_pausing_path(
        self, directory: Directory, chooser: Chooser
    ) -> None:
        """Guards against streams that leave one pausing endpoint for another, and
        against new requests that then find no path."""
        for name in ("a1", "a2"):
            add(directory, name)
            directory.set_down(name, down=True)
        assert path_ids(chooser, "a1", pausing=False) == []
        assert path_ids(chooser, pausing=False) == []
        assert path_ids(chooser) in (["a1"], ["a2"])

    def test_first_endpoint_needs_a_permit(
        self, directory: Directory, chooser: Chooser
    ) -> None:
        """Guards against pausing endpoints that get more than their limit."""
        for name in ("a1", "a2"):
            add(directory, name)
            directory.set_down(name, down=True)
        limits = chooser._limits
        chooser._limits = type(
            "Limits",
            (),
            {
                "active": True,
                "may_send": lambda _, endpoint, resumed=False: endpoint.id == "a2",
            },
        )()
        for _ in range(20):
            assert path_ids(chooser) == ["a2"]
        chooser._limits = limits


class TestEndpoint:
    def test_pausing_endpoint_is_used_if_no_other_is_left(
        self, directory: Directory, chooser: Chooser
    ) -> None:
        """Guards against requests that are refused for a pause of all endpoints."""
        add(directory, "a1")
        directory.set_down("a1", down=True)
        chosen = chooser.choose_endpoint("pool", set())
        assert chosen is not None
        assert chooser.choose_endpoint("pool", {"a1"}) is None
        assert chooser.choose_endpoint("pool", set(), pausing=False) is None

    def test_pausing_endpoint_is_not_used_beside_one_that_answers(
        self, directory: Directory, chooser: Chooser
    ) -> None:
        """Guards against requests that wait for an endpoint though another is free."""
        add(directory, "a1")
        add(directory, "a2").latency_s = 10.0
        directory.set_down("a1", down=True)
        for _ in range(20):
            chosen = chooser.choose_endpoint("pool", set())
            assert chosen is not None
            assert chosen.endpoint.id == "a2"

    @pytest.mark.parametrize("cause", ["ended", "dark", "leaving", "replaced"])
    def test_endpoints_that_do_not_go_on_are_not_used(
        self, directory: Directory, chooser: Chooser, cause: str
    ) -> None:
        """Guards against requests that wait for an endpoint that is gone."""
        record = add(directory, "a1")
        directory.set_down("a1", down=True)
        withhold(directory, record, cause)
        assert chooser.choose_endpoint("pool", set()) is None
