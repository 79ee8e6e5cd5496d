"""Load pattern: a broken copy, whose requests run through other data centres."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from hemlockhall_router.policy.data_centre_link import DataCentreLinks, transfer_s
from hemlockhall_router.process.chooser import Chooser
from hemlockhall_router.version.endpoint import LayerRange
from hemlockhall_router.version.routing import Accelerator
from hemlockhall_standins.router.pool import (
    add_endpoint,
    large_model,
    make_directory,
    service,
)

if TYPE_CHECKING:
    from hemlockhall_router.process.directory import Directory
    from hemlockhall_router.version.path import Path

MODEL = large_model({"fast": Accelerator(160_000.0, 1.0, 1.0)})
SERVICE = service(MODEL)
# Data centre x holds the first half of the layers, y the second, z a whole copy
# that other requests fill already.
LAYOUT = {"x": LayerRange(0, 40), "y": LayerRange(40, 80), "z": LayerRange(0, 80)}
# Tokens of these at z: with fewer a request does better there than through a pipe.
CROWDED = 13_000
BUSY = 8_000
HOSTS = 4
PER_S = 48
SECONDS = 10
TOKENS = 800


class Clock:
    """A clock that tests set."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def broken_copies(tokens: int = CROWDED) -> Directory:
    """Return the endpoints of ``LAYOUT``, with tokens of other requests at z."""
    known = make_directory()
    for place, layers in LAYOUT.items():
        add_endpoint(known, place, place, "fast", layers)
    known.records["z"].remote_tokens = tokens
    return known


def played(
    seed: int, hosts_known: int, tokens: int = CROWDED
) -> list[tuple[float, Path]]:
    """Let all hosts choose paths, and return when and which."""
    random.seed(seed)
    clock = Clock()
    choosers = []
    for _ in range(HOSTS):
        pipes = DataCentreLinks(lambda: hosts_known, clock)
        choosers.append(
            (Chooser(broken_copies(tokens), "x", pipes, lambda: HOSTS), pipes)
        )
    chosen = []
    for number in range(PER_S * SECONDS):
        clock.now = 100.0 + number / PER_S
        chooser, pipes = random.choice(choosers)  # noqa: S311
        path = chooser.choose_path(SERVICE, set(), tokens=TOKENS)
        assert path is not None
        pipes.record_transfer(path, MODEL, TOKENS)
        chosen.append((clock.now, path))
    return chosen


def crossings(chosen: list[tuple[float, Path]]) -> int:
    return sum(len(path.stages) > 1 for _, path in chosen)


class TestBrokenCopy:
    """A data centre lost half of its layers; another one holds them. Each host
    sent all its prompts there: together twice what the pipe carries, so that
    every stream was late, also those that had stayed where they were."""

    # The aim: what all hosts send together is no more than the pipe carries.
    MOST = SECONDS / transfer_s(MODEL, TOKENS)

    @pytest.mark.parametrize("seed", range(5))
    def test_the_hosts_together_stay_below_what_the_pipe_carries(
        self, seed: int
    ) -> None:
        count = crossings(played(seed, HOSTS))
        assert 0 < count <= self.MOST + HOSTS

    @pytest.mark.parametrize("seed", range(5))
    def test_a_whole_copy_with_room_is_better_than_the_pipe(self, seed: int) -> None:
        """Guards against activations that cross though a path needs no crossing."""
        assert crossings(played(seed, HOSTS, BUSY)) == 0

    def test_hosts_that_count_only_themselves_overfill_it(self) -> None:
        assert crossings(played(0, 1)) > self.MOST + HOSTS

    def test_a_host_alone_uses_the_pipe_again_when_it_is_free(self) -> None:
        clock = Clock()
        pipes = DataCentreLinks(lambda: 1, clock)
        chooser = Chooser(broken_copies(), "x", pipes, lambda: HOSTS)
        path = chooser.choose_path(SERVICE, set(), tokens=TOKENS)
        pipes.record_transfer(path, MODEL, 100_000)
        assert len(chooser.choose_path(SERVICE, set(), tokens=TOKENS).stages) == 1
        clock.now += transfer_s(MODEL, 100_000)
        assert len(chooser.choose_path(SERVICE, set(), tokens=TOKENS).stages) == 2


# A pipe that one prompt takes for some 45 ms, and the hosts around it.
THIN_MBPS = 2_500.0
MANY_HOSTS = 32
# Streams of a lost endpoint that each host places anew at once.
MOVED = 2
# Longest pause between two events of a stream, in seconds.
PAUSE_S = 0.25


def moved_at_once(seed: int) -> float:
    """Let all hosts place broken streams; return how long the pipe is taken."""
    random.seed(seed)
    model = replace(
        MODEL, data_centre_link_mbps=THIN_MBPS, activation_bytes_per_token=16_400.0
    )
    clock = Clock()
    taken_s = 0.0
    for _ in range(MANY_HOSTS):
        known = make_directory()
        for place, layers in (("x", LAYOUT["x"]), ("x2", LAYOUT["y"])):
            add_endpoint(known, place, "x", "fast", layers)
        add_endpoint(known, "y", "y", "fast", LAYOUT["y"])
        # Others' prompts wait at home, as far as this host has heard.
        known.records["x2"].remote_prefill_tokens = 30_000
        pipes = DataCentreLinks(lambda: MANY_HOSTS, clock)
        chooser = Chooser(known, "x", pipes, lambda: MANY_HOSTS // 2)
        for _ in range(MOVED):
            path = chooser.choose_path(service(model), set(), tokens=TOKENS)
            assert path is not None
            pipes.record_transfer(path, model, TOKENS)
            if len({part.endpoint.data_centre for part in path.stages}) > 1:
                taken_s += transfer_s(model, TOKENS)
    return taken_s


class TestStreamsThatBreakTogether:
    """Each host finds the pipe free and sends a prompt; streams that cross wait."""

    @pytest.mark.parametrize("seed", range(5))
    def test_streams_that_cross_are_not_held_up_for_longer_than_a_pause(
        self, seed: int
    ) -> None:
        """Guards against a burst of prompts in a pipe while home has a path."""
        assert moved_at_once(seed) <= PAUSE_S

    def test_a_pipe_is_used_where_home_has_no_path(self) -> None:
        """Guards against refusals while the layers are held elsewhere."""
        known = make_directory()
        add_endpoint(known, "x", "x", "fast", LAYOUT["x"])
        add_endpoint(known, "y", "y", "fast", LAYOUT["y"])
        pipes = DataCentreLinks(lambda: MANY_HOSTS, Clock())
        chooser = Chooser(known, "x", pipes, lambda: MANY_HOSTS // 2)
        path = chooser.choose_path(SERVICE, set(), tokens=TOKENS)
        assert path is not None
        assert len(path.stages) == 2
