"""Path choice when a data centre lacks layers and its requests run in others."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from hemlockhall_router.policy.data_centre_link import DataCentreLinks, transfer_s
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
    from hemlockhall_router.process.directory import Directory
    from hemlockhall_router.version.path import Path

MODEL = large_model({"fast": Accelerator(160_000.0, 1.0, 1.0)})
SERVICE = service(MODEL)
# Data centre x holds the first half of the layers, y the second, z a complete copy that
# is loaded with other requests.
LAYOUT = {"x": LayerRange(0, 40), "y": LayerRange(40, 80), "z": LayerRange(0, 80)}
# Tokens of other requests at z that make a data centre link the cheaper choice, and
# tokens that leave z the cheaper one.
LOADED_TOKENS = 13_000
FREE_TOKENS = 8_000
HOSTS = 4
REQUESTS_PER_S = 48
DURATION_S = 10
TOKENS = 800


class Clock:
    """A clock that tests set."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def incomplete_copies(tokens: int = LOADED_TOKENS) -> Directory:
    """Return the endpoints of ``LAYOUT``, with tokens of other requests at z."""
    directory = make_directory()
    for data_centre, layers in LAYOUT.items():
        add_endpoint(directory, data_centre, data_centre, "fast", layers)
    directory.records["z"].remote_tokens = tokens
    return directory


def simulate(
    seed: int, host_count: int, tokens: int = LOADED_TOKENS
) -> list[tuple[float, Path]]:
    """Let all hosts choose paths; return the time and path of each choice."""
    random.seed(seed)
    clock = Clock()
    choosers = []
    for _ in range(HOSTS):
        links = DataCentreLinks(lambda: host_count, clock)
        choosers.append(
            (make_chooser(incomplete_copies(tokens), "x", links, lambda: HOSTS), links)
        )
    chosen = []
    for number in range(REQUESTS_PER_S * DURATION_S):
        clock.now = 100.0 + number / REQUESTS_PER_S
        chooser, links = random.choice(choosers)  # noqa: S311
        path = chooser.choose_path(SERVICE, set(), tokens=TOKENS)
        assert path is not None
        links.record_transfer(path, MODEL, TOKENS)
        chosen.append((clock.now, path))
    return chosen


def count_crossings(chosen: list[tuple[float, Path]]) -> int:
    return sum(len(path.stages) > 1 for _, path in chosen)


class TestIncompleteCopy:
    """Guards against hosts that together send more prompts than a link carries.

    A data centre has lost half of its layers, and another one holds them. If all hosts
    sent their prompts there, twice the bandwidth of the link, every stream would be
    late, including those that have not moved.
    """

    # Objective: the transfers of all hosts fit into the bandwidth.
    MAX_CROSSINGS = DURATION_S / transfer_s(MODEL, TOKENS)

    @pytest.mark.parametrize("seed", range(5))
    def test_the_hosts_together_do_not_exceed_the_bandwidth(self, seed: int) -> None:
        count = count_crossings(simulate(seed, HOSTS))
        assert 0 < count <= self.MAX_CROSSINGS + HOSTS

    @pytest.mark.parametrize("seed", range(5))
    def test_a_complete_copy_with_memory_is_preferred_to_the_link(
        self, seed: int
    ) -> None:
        """Guards against activations that cross a link without need."""
        assert count_crossings(simulate(seed, HOSTS, FREE_TOKENS)) == 0

    def test_hosts_that_count_only_themselves_exceed_the_bandwidth(self) -> None:
        assert count_crossings(simulate(0, 1)) > self.MAX_CROSSINGS + HOSTS

    def test_a_single_host_uses_the_link_again_when_it_is_free(self) -> None:
        clock = Clock()
        links = DataCentreLinks(lambda: 1, clock)
        chooser = make_chooser(incomplete_copies(), "x", links, lambda: HOSTS)
        path = chooser.choose_path(SERVICE, set(), tokens=TOKENS)
        links.record_transfer(path, MODEL, 100_000)
        assert len(chooser.choose_path(SERVICE, set(), tokens=TOKENS).stages) == 1
        clock.now += transfer_s(MODEL, 100_000)
        assert len(chooser.choose_path(SERVICE, set(), tokens=TOKENS).stages) == 2


# Bandwidth at which one prompt takes a link for about 45 ms, and the hosts sharing it.
SLOW_LINK_MBPS = 2_500.0
MANY_HOSTS = 32
# Streams of a lost endpoint that each host moves at once.
MOVED_STREAMS = 2
# Longest gap between two events of a stream.
MAX_EVENT_GAP_S = 0.25


def move_streams_at_once(seed: int) -> float:
    """Let all hosts move broken streams; return the seconds of their transfers."""
    random.seed(seed)
    model = replace(
        MODEL, data_centre_link_mbps=SLOW_LINK_MBPS, activation_bytes_per_token=16_400.0
    )
    clock = Clock()
    taken_s = 0.0
    for _ in range(MANY_HOSTS):
        directory = make_directory()
        for name, layers in (("x", LAYOUT["x"]), ("x2", LAYOUT["y"])):
            add_endpoint(directory, name, "x", "fast", layers)
        add_endpoint(directory, "y", "y", "fast", LAYOUT["y"])
        # Peers have reported prompts that wait for prefill in the home data centre.
        directory.records["x2"].remote_prefill_tokens = 30_000
        links = DataCentreLinks(lambda: MANY_HOSTS, clock)
        chooser = make_chooser(directory, "x", links, lambda: MANY_HOSTS // 2)
        for _ in range(MOVED_STREAMS):
            path = chooser.choose_path(service(model), set(), tokens=TOKENS)
            assert path is not None
            links.record_transfer(path, model, TOKENS)
            if len({stage.endpoint.data_centre for stage in path.stages}) > 1:
                taken_s += transfer_s(model, TOKENS)
    return taken_s


class TestStreamsThatBreakTogether:
    """Guards against hosts that all find a link free and send a prompt at once."""

    @pytest.mark.parametrize("seed", range(5))
    def test_streams_that_cross_are_not_delayed_beyond_the_event_gap(
        self, seed: int
    ) -> None:
        """Guards against a burst of prompts on a link while home has a path."""
        assert move_streams_at_once(seed) <= MAX_EVENT_GAP_S

    def test_the_link_is_used_where_home_has_no_path(self) -> None:
        """Guards against refusals while another data centre holds the layers."""
        directory = make_directory()
        add_endpoint(directory, "x", "x", "fast", LAYOUT["x"])
        add_endpoint(directory, "y", "y", "fast", LAYOUT["y"])
        links = DataCentreLinks(lambda: MANY_HOSTS, Clock())
        chooser = make_chooser(directory, "x", links, lambda: MANY_HOSTS // 2)
        path = chooser.choose_path(SERVICE, set(), tokens=TOKENS)
        assert path is not None
        assert len(path.stages) == 2
