"""Path choice when an endpoint is lost and all of its streams move at once."""

from __future__ import annotations

import random
from collections import Counter
from typing import TYPE_CHECKING

import pytest

from hemlockhall_router.policy.data_centre_link import DataCentreLinks
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

ACCELERATORS = {
    "fast": Accelerator(400_000.0, 2.4, 3.2),
    "slow": Accelerator(400_000.0, 3.6, 3.2),
}
SERVICE = service(large_model(ACCELERATORS))
HOSTS = 4
STREAMS = 60
TOKENS = 1000


def three_endpoints() -> Directory:
    """Return three endpoints with all layers, one of them faster."""
    directory = make_directory()
    for name, kind in (("p1", "fast"), ("p2", "slow"), ("p3", "slow")):
        add_endpoint(directory, name, "x", kind, LayerRange(0, 80))
    return directory


def prefill_tokens(seed: int, host_count: int) -> Counter[str]:
    """Let all hosts choose paths at once; return prefill tokens by first endpoint."""
    random.seed(seed)
    tokens_by_endpoint: Counter[str] = Counter()
    for _ in range(HOSTS):
        directory = three_endpoints()
        links = DataCentreLinks(lambda: host_count)
        chooser = make_chooser(directory, "x", links, lambda: host_count)
        for _ in range(STREAMS // HOSTS):
            path = chooser.choose_path(SERVICE, set(), tokens=TOKENS)
            assert path is not None
            record = directory.records[path.first_endpoint.id]
            record.prefill_tokens += TOKENS
            record.tokens += TOKENS
            tokens_by_endpoint[path.first_endpoint.id] += TOKENS
    return tokens_by_endpoint


class TestLostEndpoint:
    """Guards against hosts that all move the streams of a lost endpoint to one other.

    Sixty streams move within milliseconds and need a new prefill. Hosts that do not
    know of each other's choices would all take the fastest endpoint, whose prefill then
    takes a second: all streams would be late while two other endpoints are idle.
    """

    @pytest.mark.parametrize("seed", range(5))
    def test_no_endpoint_prefills_much_longer_than_the_others(self, seed: int) -> None:
        tokens_by_endpoint = prefill_tokens(seed, HOSTS)
        even_share = STREAMS * TOKENS / 3
        assert len(tokens_by_endpoint) == 3
        # Objective: prefill takes at most half as long again as for an even share.
        assert max(tokens_by_endpoint.values()) <= 1.5 * even_share

    def test_hosts_that_count_only_themselves_overload_the_fastest(self) -> None:
        tokens_by_endpoint = prefill_tokens(0, 0)
        assert max(tokens_by_endpoint.values()) > 1.5 * STREAMS * TOKENS / 3
