"""Load pattern: many endpoints, divided into replicas."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hemlockhall_router.policy.data_centre_link import DataCentreLinks
from hemlockhall_router.process.chooser import Chooser
from hemlockhall_router.process.replica_index import SAMPLE_SIZE
from hemlockhall_router.version.coverage import Coverage, min_stages
from hemlockhall_router.version.endpoint import Endpoint, LayerRange
from hemlockhall_router.version.layout import endpoints_beyond_max_stages, plan_layout
from hemlockhall_router.version.member import DEFAULT_FILL, Member
from hemlockhall_router.version.path import MAX_STAGES
from hemlockhall_router.version.replica import (
    MERGE_COPIES,
    SPLIT_COPIES,
    Replica,
    ReplicaDivision,
)
from hemlockhall_router.version.routing import Accelerator
from hemlockhall_standins.router.pool import SERVICE as POOL
from hemlockhall_standins.router.pool import large_model, make_directory, service

KINDS = {
    "a": Accelerator(36_000.0, 3.1, 3.2),
    "l": Accelerator(21_600.0, 16.0, 8.2),
    "t": Accelerator(14_400.0, 15.0, 15.0),
}
MODEL = large_model(KINDS)
# Memory of a data centre in copies from which it holds one of its own.
ALONE = 1.2


def fleet(count: int, places: int, seed: int = 0) -> list[Endpoint]:
    rng = random.Random(seed)
    made = []
    for number in range(count):
        kind = rng.choice("alllllttttt")
        place = f"p{number % places}"
        key = f"i-{rng.randrange(16**8):08x}"
        made.append(Endpoint(key, POOL, "h", number + 1, place, accelerator=kind))
    return made


def settled(
    found: list[Endpoint], division: ReplicaDivision
) -> dict[str, LayerRange | None]:
    assigned: dict[str, LayerRange | None] = {e.id: None for e in found}
    division.update(MODEL, found)
    for _ in range(60):
        orders = plan_layout(MODEL, found, assigned, division=division)
        if not orders:
            return assigned
        assigned.update(orders)
    pytest.fail("the plan does not come to rest")


def replicas(
    found: list[Endpoint], assigned: dict, division: ReplicaDivision
) -> dict[Replica, list[Member]]:
    made: dict[Replica, list[Member]] = {}
    for endpoint in found:
        most = MODEL.capacity(endpoint.accelerator)
        member = Member(endpoint, most, assigned.get(endpoint.id))
        made.setdefault(division.replica(endpoint), []).append(member)
    return made


def memory(members: list[Member]) -> float:
    return sum(member.capacity for member in members) / MODEL.layers


class TestReplicas:
    @settings(max_examples=15, deadline=None)
    @given(st.integers(1, 2000), st.integers(1, 15), st.integers(0, 10_000))
    def test_each_replica_holds_whole_copies_on_short_paths(
        self, count: int, places: int, seed: int
    ) -> None:
        """Guards against paths of more parts than engines take in large fleets."""
        found = fleet(count, places, seed)
        division = ReplicaDivision()
        assigned = settled(found, division)
        for endpoint in found:
            layers = assigned[endpoint.id]
            assert layers is None or layers.size <= MODEL.capacity(endpoint.accelerator)
        for members in replicas(found, assigned, division).values():
            if memory(members) < ALONE:
                continue
            assert Coverage(MODEL, members).gaps() == []
            parts = min_stages(MODEL, [m.assigned for m in members if m.assigned])
            assert parts is not None
            assert parts <= MAX_STAGES

    @pytest.mark.parametrize("count", [300, 1000])
    def test_replicas_are_of_bounded_size(self, count: int) -> None:
        """Guards against plans and choices that grow with the fleet."""
        found = fleet(count, 3)
        division = ReplicaDivision()
        assigned = settled(found, division)
        sizes = [memory(m) for m in replicas(found, assigned, division).values()]
        assert min(sizes) >= SPLIT_COPIES
        # A replica is halved as long as both halves are large enough.
        assert max(sizes) <= 4 * SPLIT_COPIES

    @pytest.mark.parametrize("seed", range(5))
    def test_a_lost_endpoint_changes_few_others(self, seed: int) -> None:
        """Guards against a loss that moves layers all over the fleet."""
        found = fleet(1000, 3, seed)
        division = ReplicaDivision()
        assigned = settled(found, division)
        lost = random.Random(seed).choice(found)
        replica = division.replica(lost)
        found.remove(lost)
        assigned.pop(lost.id)
        before = dict(assigned)
        assigned = settled_from(found, assigned, division)
        changed = [e for e in found if assigned[e.id] != before[e.id]]
        assert len(changed) <= 4
        assert {division.replica(endpoint) for endpoint in changed} <= {replica}

    def test_losses_around_the_bound_do_not_divide_anew(self) -> None:
        """Guards against replicas that are joined and divided by each loss."""
        found = fleet(400, 3)
        division = ReplicaDivision()
        division.update(MODEL, found)
        before = dict(division.splits)
        few = len(found) // 10
        for _ in range(3):
            division.update(MODEL, found[few:])
            assert division.splits == before
            division.update(MODEL, found)
            assert division.splits == before

    def test_a_data_centre_that_lost_most_endpoints_is_joined(self) -> None:
        """Guards against replicas too small for a copy of their own."""
        found = fleet(1000, 1)
        division = ReplicaDivision()
        division.update(MODEL, found)
        assert division.splits["p0"] > 0
        left = found[:60]
        division.update(MODEL, left)
        assigned = settled(left, division)
        for members in replicas(left, assigned, division).values():
            assert memory(members) >= MERGE_COPIES
            assert Coverage(MODEL, members).gaps() == []

    def test_memory_beside_the_layers_is_left_for_requests(self) -> None:
        """Guards against layers that fill all memory of a large fleet."""
        found = fleet(1000, 3)
        assigned = settled(found, ReplicaDivision())
        for endpoint in found:
            layers = assigned[endpoint.id]
            assert layers is not None
            assert layers.size <= max(
                1, DEFAULT_FILL * MODEL.capacity(endpoint.accelerator)
            )


def settled_from(
    found: list[Endpoint],
    assigned: dict[str, LayerRange | None],
    division: ReplicaDivision,
) -> dict[str, LayerRange | None]:
    assigned = dict(assigned)
    division.update(MODEL, found)
    for _ in range(60):
        orders = plan_layout(MODEL, found, assigned, division=division)
        if not orders:
            return assigned
        assigned.update(orders)
    pytest.fail("the plan does not come to rest")


class TestOrder:
    def test_the_first_copy_is_ordered_first(self) -> None:
        """Guards against a day that begins when the last of all copies is loaded."""
        found = fleet(1000, 3)
        division = ReplicaDivision()
        division.update(MODEL, found)
        orders = plan_layout(
            MODEL, found, {e.id: None for e in found}, division=division
        )
        places = {e.id: e for e in found}
        first: dict[str, LayerRange | None] = {}
        for key in list(orders)[: len(orders) // 4]:
            first[key] = orders[key]
        for members in replicas([places[k] for k in first], first, division).values():
            assert Coverage(MODEL, members).gaps() == []


class TestTooLong:
    def test_a_layout_that_engines_refuse_is_found(self) -> None:
        """Guards against orders for paths that no request can take."""
        tiny = {"s": Accelerator(4_000.0, 1.0, 1.0)}
        model = replace(MODEL, accelerators=tiny)
        found = []
        for number in range(80):
            key = f"s{number:02}"
            found.append(Endpoint(key, POOL, "h", 1, "p0", accelerator="s"))
        assigned = plan_layout(model, found, {e.id: None for e in found})
        assert endpoints_beyond_max_stages(model, found, assigned) == {
            e.id for e in found
        }
        assert endpoints_beyond_max_stages(MODEL, found, {}) == frozenset()


class TestChoice:
    @pytest.mark.parametrize("count", [59, 1000])
    def test_a_path_is_found_among_a_bounded_sample(self, count: int) -> None:
        """Guards against choices whose time grows with the fleet."""
        known = make_directory()
        found = fleet(count, 3)
        assigned = settled(found, ReplicaDivision())
        for endpoint in found:
            known.add(replace(endpoint, layers=assigned[endpoint.id]))
        sample = known.replica_index.sample(POOL, MODEL, "p0")
        most = max(len(group) for group in groups_of(known))
        assert len(sample) <= SAMPLE_SIZE + most
        chooser = Chooser(known, "p0", DataCentreLinks(lambda: 1), lambda: 1)
        assert chooser.choose_path(service(MODEL), set(), tokens=900) is not None

    def test_a_path_is_found_though_the_sampled_replicas_are_broken(self) -> None:
        """Guards against refusals while another replica is whole."""
        known = make_directory()
        found = fleet(1000, 3)
        division = ReplicaDivision()
        assigned = settled(found, division)
        whole = division.replica(found[0])
        for endpoint in found:
            if division.replica(endpoint) == whole:
                known.add(replace(endpoint, layers=assigned[endpoint.id]))
            else:
                known.add(replace(endpoint, layers=LayerRange(0, 1)))
        chooser = Chooser(known, "p1", DataCentreLinks(lambda: 1), lambda: 1)
        path = chooser.choose_path(service(MODEL), set(), tokens=900)
        assert path is not None
        for part in path.stages[1:]:
            assert division.replica(part.endpoint) == whole


def groups_of(known) -> list[list]:
    division = known.replica_index.division(POOL, MODEL)
    made: dict[Replica, list] = {}
    for record in known.replica_index.endpoints(POOL):
        made.setdefault(division.replica(record.endpoint), []).append(record)
    return list(made.values())
