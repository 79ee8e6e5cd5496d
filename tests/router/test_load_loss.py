"""Load pattern: the loss of an endpoint, whose streams all go on elsewhere."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from hemlockhall_router.policy.pipe import Pipes
from hemlockhall_router.process.chooser import Chooser
from hemlockhall_router.process.directory import Directory, Held
from hemlockhall_router.version.endpoint import Endpoint, LayerRange
from hemlockhall_router.version.routing import Accelerator, Model, Service

MODEL = Model(
    layers=80,
    layer_mb=1750.0,
    kv_bytes=1_180_000.0,
    activation_bytes=59_000.0,
    load_s=14.0,
    step_ms=1.0,
    sequence_ms=0.01,
    read_per_s=164_000.0,
    pipe_mbps=13_000.0,
    accelerators={
        "fast": Accelerator(400_000.0, 2.4, 3.2),
        "slow": Accelerator(400_000.0, 3.6, 3.2),
    },
    usual_prompt=775.0,
    usual_answer=216.0,
)
SERVICE = Service("pool", "/", 100, slots=500, model=MODEL)
HOSTS = 4
STREAMS = 60
TOKENS = 1000


def directory() -> Directory:
    """Return three endpoints with all layers, one of them faster."""
    made = Directory(lambda key, value: None, lambda: 0.0, lambda: None)
    for name, kind in (("p1", "fast"), ("p2", "slow"), ("p3", "slow")):
        endpoint = Endpoint(
            name,
            "pool",
            "10.0.0.1",
            1,
            "x",
            accelerator=kind,
            layers=LayerRange(0, 80),
        )
        made.held[name] = Held(endpoint)
    return made


def unread(seed: int, hosts_known: int) -> Counter[str]:
    """Let all hosts place the streams at once, and return the tokens to read."""
    random.seed(seed)
    placed: Counter[str] = Counter()
    for _ in range(HOSTS):
        known = directory()
        pipes = Pipes(lambda: hosts_known)
        chooser = Chooser(known, "x", pipes, lambda: hosts_known)
        for _ in range(STREAMS // HOSTS):
            path = chooser.path(SERVICE, set(), size=TOKENS)
            assert path is not None
            held = known.held[path.first.id]
            held.unread += TOKENS
            held.tokens += TOKENS
            placed[path.first.id] += TOKENS
    return placed


class TestLostEndpoint:
    """Sixty streams of a lost endpoint go on elsewhere within milliseconds, and
    their prompts are read again. Each host took the fastest path for its own,
    not knowing of the others' yet; that endpoint read for a second, and all of
    them were late, while two others had nothing to read."""

    @pytest.mark.parametrize("seed", range(5))
    def test_no_endpoint_reads_much_longer_than_the_others(self, seed: int) -> None:
        placed = unread(seed, HOSTS)
        even = STREAMS * TOKENS / 3
        assert len(placed) == 3
        # The aim: all are read in the time that an even share takes, by half.
        assert max(placed.values()) <= 1.5 * even

    def test_hosts_that_count_only_themselves_crowd_the_fastest(self) -> None:
        placed = unread(0, 0)
        assert max(placed.values()) > 1.5 * STREAMS * TOKENS / 3
