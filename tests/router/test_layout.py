"""Layouts: complete copies within memory, repaired after losses, and paths on them."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hemlockhall_router.version.coverage import EXTRA_FIRST_LAYER_HOLDERS, Coverage
from hemlockhall_router.version.endpoint import Endpoint, LayerRange
from hemlockhall_router.version.layout import plan_layout
from hemlockhall_router.version.member import DEFAULT_FILL, Member
from hemlockhall_router.version.path import (
    CROSS_DATA_CENTRE_START_MS,
    HOP_MS,
    EndpointCost,
    find_path,
)
from hemlockhall_router.version.routing import Accelerator, Model

ACCELERATORS = {
    "h": Accelerator(72_000.0, 1.4, 1.0),
    "a": Accelerator(36_000.0, 3.1, 3.2),
    "l": Accelerator(21_600.0, 16.0, 8.2),
    "t": Accelerator(14_400.0, 15.0, 15.0),
}
MODEL = Model(
    layers=80,
    layer_mb=1750.0,
    kv_bytes_per_token=1_180_000.0,
    activation_bytes_per_token=59_000.0,
    load_all_layers_s=14.0,
    step_ms=0.85,
    step_ms_per_sequence=0.0076,
    prefill_tokens_per_s=196_000.0,
    data_centre_link_mbps=13_000.0,
    accelerators=ACCELERATORS,
    typical_prompt_tokens=772.0,
    typical_output_tokens=167.0,
    concurrent_loads=6,
)
# Endpoints whose loss leaves two data centres with gaps that no endpoint can fill
# without dropping layers that it serves.
LOST_IDS = {"x00", "x02", "z00", "z04", "z06", "z07", "z08"}
DATA_CENTRES = {"x": "alllllllltttt", "y": "aallllttttttt", "z": "halllllttttttt"}


def make_endpoints(data_centres: dict[str, str] = DATA_CENTRES) -> list[Endpoint]:
    endpoints = []
    for data_centre, kinds in data_centres.items():
        for number, kind in enumerate(kinds):
            key = f"{data_centre}{number:02}"
            endpoints.append(
                Endpoint(key, "pool", "10.0.0.1", 1, data_centre, accelerator=kind)
            )
    return endpoints


def converge(endpoints: list[Endpoint], assigned: dict[str, LayerRange | None]) -> int:
    """Plan and carry out orders until there are none; return their number."""
    count = 0
    for _ in range(40):
        orders = plan_layout(MODEL, endpoints, assigned)
        if not orders:
            return count
        count += len(orders)
        assigned.update(orders)
    pytest.fail("the plan still has orders after 40 rounds")


def gaps_in(
    endpoints: list[Endpoint], assigned: dict, data_centre: str
) -> list[LayerRange]:
    members = []
    for endpoint in endpoints:
        if endpoint.data_centre == data_centre and assigned.get(endpoint.id):
            members.append(Member(endpoint, 1, assigned[endpoint.id]))
    return Coverage(MODEL, members).gaps()


def holder_counts(
    endpoints: list[Endpoint], assigned: dict, data_centre: str
) -> list[int]:
    """Return the number of endpoints of a data centre that hold each layer."""
    coverage = Coverage(MODEL, [])
    for endpoint in endpoints:
        if endpoint.data_centre == data_centre and assigned.get(endpoint.id):
            coverage.add(assigned[endpoint.id])
    return coverage.counts


def loses_layers(
    endpoints: list[Endpoint], old: dict, new: dict, data_centre: str
) -> bool:
    """Return whether a data centre loses a served layer while orders load."""
    left = Coverage(MODEL, [])
    for endpoint in endpoints:
        before, after = old[endpoint.id], new[endpoint.id]
        if endpoint.data_centre != data_centre or before is None:
            continue
        first, end = max(before.first, after.first), min(before.end, after.end)
        left.add(LayerRange(first, max(first, end)))
    served = holder_counts(endpoints, old, data_centre)
    return any(was and not now for was, now in zip(served, left.counts, strict=True))


def within_memory(endpoints: list[Endpoint], assigned: dict) -> bool:
    for endpoint in endpoints:
        layers = assigned.get(endpoint.id)
        if layers and layers.size > MODEL.capacity(endpoint.accelerator):
            return False
    return True


def cross_data_centre_ms(source: str, destination: str) -> float:
    return 12.0


def fill_fraction(endpoint: Endpoint, assigned: dict) -> float:
    return assigned[endpoint.id].size / MODEL.capacity(endpoint.accelerator)


class TestFirstPlan:
    def test_each_data_centre_holds_a_copy_within_memory(self) -> None:
        endpoints = make_endpoints()
        assigned: dict[str, LayerRange | None] = {}
        assert converge(endpoints, assigned) == len(endpoints)
        assert within_memory(endpoints, assigned)
        for data_centre in DATA_CENTRES:
            assert gaps_in(endpoints, assigned, data_centre) == []

    def test_small_data_centres_share_a_copy(self) -> None:
        endpoints = make_endpoints({"x": "ll", "y": "hh", "z": "tt"})
        assigned: dict[str, LayerRange | None] = {}
        converge(endpoints, assigned)
        members = [
            Member(e, 1, assigned[e.id]) for e in endpoints if assigned.get(e.id)
        ]
        assert Coverage(MODEL, members).gaps() == []
        assert within_memory(endpoints, assigned)


class TestRepair:
    @pytest.mark.parametrize("data_centre", list(DATA_CENTRES))
    def test_any_single_loss_is_repaired(self, data_centre: str) -> None:
        for lost in range(len(DATA_CENTRES[data_centre])):
            endpoints = make_endpoints()
            assigned: dict[str, LayerRange | None] = {}
            converge(endpoints, assigned)
            endpoints = [e for e in endpoints if e.id != f"{data_centre}{lost:02}"]
            converge(endpoints, assigned)
            assert gaps_in(endpoints, assigned, data_centre) == [], lost
            assert within_memory(endpoints, assigned)

    @pytest.mark.parametrize("data_centre", list(DATA_CENTRES))
    def test_a_loss_does_not_reload_the_whole_copy(self, data_centre: str) -> None:
        """Guards against a redistribution of all layers for the loss of one endpoint.

        The copy is out of service while it loads, and three such losses took all
        copies out of service.
        """
        for lost in range(len(DATA_CENTRES[data_centre])):
            endpoints = make_endpoints()
            assigned: dict[str, LayerRange | None] = {}
            converge(endpoints, assigned)
            gone = assigned[f"{data_centre}{lost:02}"]
            endpoints = [e for e in endpoints if e.id != f"{data_centre}{lost:02}"]
            before = dict(assigned)
            orders = plan_layout(MODEL, endpoints, assigned)
            loaded = 0
            for key, layers in orders.items():
                old = before[key]
                loaded += sum(
                    1
                    for layer in range(layers.first, layers.end)
                    if not old.first <= layer < old.end
                )
            assert loaded <= 4 * gone.size, (lost, orders)
            assert len(orders) <= 8

    def test_losses_in_one_data_centre_do_not_redistribute_others(self) -> None:
        """Guards against losses in one data centre that reload the copies of others.

        If all copies were redistributed together, every request would be refused.
        """
        endpoints = make_endpoints()
        assigned: dict[str, LayerRange | None] = {}
        converge(endpoints, assigned)
        endpoints = [e for e in endpoints if e.id[0] != "y" or e.id < "y06"]
        assigned = {e.id: assigned[e.id] for e in endpoints}
        for key, layers in plan_layout(MODEL, endpoints, assigned).items():
            assert key.startswith("y"), layers

    def test_a_returning_endpoint_holds_layers_with_a_single_holder(self) -> None:
        """Guards against a returning endpoint that adds no redundancy.

        It must hold layers with a single holder, and the endpoints that took over its
        layers must get their memory for requests back.
        """
        endpoints = make_endpoints()
        assigned: dict[str, LayerRange | None] = {}
        converge(endpoints, assigned)
        without = [e for e in endpoints if e.id != "x05"]
        converge(without, assigned)
        del assigned["x05"]
        single = [n for n in range(80) if holder_counts(without, assigned, "x")[n] == 1]
        assigned["x05"] = None
        converge(endpoints, assigned)
        assert gaps_in(endpoints, assigned, "x") == []
        reloaded = assigned["x05"]
        assert reloaded is not None
        assert set(range(reloaded.first, reloaded.end)) <= set(single)
        assert max(fill_fraction(e, assigned) for e in endpoints) <= DEFAULT_FILL

    @pytest.mark.parametrize("data_centre", list(DATA_CENTRES))
    def test_the_repair_of_a_loss_takes_no_layer_out_of_service(
        self, data_centre: str
    ) -> None:
        """Guards against a repair that drops layers nobody else holds.

        The copy is then out of service for longer than with the gap alone.
        """
        for lost in range(len(DATA_CENTRES[data_centre])):
            endpoints = make_endpoints()
            assigned: dict[str, LayerRange | None] = {}
            converge(endpoints, assigned)
            endpoints = [e for e in endpoints if e.id != f"{data_centre}{lost:02}"]
            assigned.pop(f"{data_centre}{lost:02}")
            before = holder_counts(endpoints, assigned, data_centre)
            orders = plan_layout(MODEL, endpoints, assigned)
            for key, layers in orders.items():
                old = assigned[key]
                for layer in range(old.first, old.end):
                    if not layers.first <= layer < layers.end:
                        before[layer] -= 1
                        assert before[layer] > 0, (lost, key)

    def test_small_endpoints_fill_a_gap_before_large_ones(self) -> None:
        """Guards against a gap that stays open until the streams of a large spare end.

        Of the spares only the fastest accelerator has memory for the eight layers of
        the gap, and its streams took eight seconds to end. Two small ones fill it.
        """
        endpoints = make_endpoints()
        assigned: dict[str, LayerRange | None] = {}
        converge(endpoints, assigned)
        assigned = {key: layers for key, layers in assigned.items() if key != "z03"}
        endpoints = [e for e in endpoints if e.id != "z03"]
        orders = plan_layout(MODEL, endpoints, assigned)
        kinds = {e.id: e.accelerator for e in endpoints}
        assert orders
        assert {kinds[key] for key in orders} <= {"l", "t"}

    def test_a_copy_that_is_loading_is_not_counted_as_serving(self) -> None:
        """Guards against two data centres that are redistributed at the same time.

        Losses leave gaps in both. If layers that are only ordered counted as served,
        both would go out of service, and the third could not serve their callers.
        """
        endpoints = make_endpoints()
        assigned: dict[str, LayerRange | None] = {}
        converge(endpoints, assigned)
        endpoints = [e for e in endpoints if e.id not in LOST_IDS]
        serving = {e.id: assigned[e.id] for e in endpoints}
        assigned = dict(serving)
        for _ in range(10):
            orders = plan_layout(MODEL, endpoints, assigned, serving)
            assigned.update(orders)
        out_of_service = []
        for data_centre in DATA_CENTRES:
            if loses_layers(endpoints, serving, assigned, data_centre):
                out_of_service.append(data_centre)
        assert len(out_of_service) == 1

    @given(st.integers(0, 10_000))
    def test_any_losses_leave_copies_where_memory_suffices(self, seed: int) -> None:
        rng = random.Random(seed)
        endpoints = make_endpoints()
        assigned: dict[str, LayerRange | None] = {}
        converge(endpoints, assigned)
        for _ in range(3):
            for endpoint in rng.sample(endpoints, rng.randint(1, 4)):
                if rng.random() < 0.5:
                    assigned[endpoint.id] = None
                else:
                    endpoints.remove(endpoint)
                    assigned.pop(endpoint.id)
            converge(endpoints, assigned)
            assert within_memory(endpoints, assigned)
        for data_centre in DATA_CENTRES:
            total = sum(
                MODEL.capacity(e.accelerator)
                for e in endpoints
                if e.data_centre == data_centre
            )
            if total >= MODEL.layers * 1.2:
                assert gaps_in(endpoints, assigned, data_centre) == []


class TestRebalance:
    def test_an_endpoint_with_too_many_layers_is_relieved(self) -> None:
        """Guards against an endpoint that keeps layers it took over from a lost one.

        It has memory for few requests, and all requests of the data centre pass it, so
        most would be refused while other endpoints could hold these layers.
        """
        endpoints = make_endpoints()
        assigned: dict[str, LayerRange | None] = {}
        converge(endpoints, assigned)
        overfull = next(e for e in endpoints if e.id == "z03")
        layers = assigned[overfull.id]
        assigned[overfull.id] = LayerRange(layers.first, layers.first + 11)
        shifted = next(e for e in endpoints if assigned[e.id].first == layers.end)
        assigned[shifted.id] = LayerRange(layers.end + 3, assigned[shifted.id].end)
        converge(endpoints, assigned)
        assert gaps_in(endpoints, assigned, "z") == []
        assert fill_fraction(overfull, assigned) <= DEFAULT_FILL

    def test_an_overfull_endpoint_does_not_keep_others_from_growing(self) -> None:
        """Guards against a rebalancing that stops at an endpoint nobody can relieve.

        Others hold fewer layers than their memory allows. They must grow, because that
        makes one of them redundant.
        """
        endpoints = make_endpoints({"x": "llllllllll"})
        assigned: dict[str, LayerRange | None] = {}
        first = 0
        sizes = (11, 7, 7, 7, 8, 8, 8, 8, 8, 8)
        for endpoint, size in zip(endpoints, sizes, strict=True):
            assigned[endpoint.id] = LayerRange(first, first + size)
            first += size
        converge(endpoints, assigned)
        assert gaps_in(endpoints, assigned, "x") == []
        assert sum(assigned[e.id].size for e in endpoints) > 80

    def test_neighbours_fill_a_gap_only_without_redundant_endpoints(self) -> None:
        """Guards against neighbours that fill up while there are redundant endpoints.

        Every request passes the neighbours, which then have memory for few of them, so
        most would be refused.
        """
        endpoints = make_endpoints()
        assigned: dict[str, LayerRange | None] = {}
        converge(endpoints, assigned)
        for lost in ("x08", "y06", "z05"):
            after = {key: layers for key, layers in assigned.items() if key != lost}
            left = [e for e in endpoints if e.id != lost]
            after.update(plan_layout(MODEL, left, after))
            assert gaps_in(left, after, lost[0]) == []
            assert max(fill_fraction(e, after) for e in left) <= 0.8


class TestDroppedLayers:
    def test_holders_of_the_same_layers_do_not_all_drop_them(self) -> None:
        """Guards against overfull endpoints that all drop the same layers for memory.

        Each would count on the others for the layers; no path would be left.
        """
        kinds = {"f": Accelerator(80 * 1750.0, 1.0, 1.0)}
        model = replace(MODEL, accelerators=kinds)
        endpoints = []
        for number in range(3):
            key = f"f{number}"
            endpoints.append(Endpoint(key, "pool", "h", 1, "x", accelerator="f"))
        assigned: dict[str, LayerRange | None] = {}
        for endpoint in endpoints:
            assigned[endpoint.id] = LayerRange(0, 80)
        for _ in range(5):
            assigned.update(plan_layout(model, endpoints, assigned))
            assert gaps_in(endpoints, assigned, "x") == []
        assert max(assigned[e.id].size for e in endpoints) <= DEFAULT_FILL * 80


class TestPaths:
    @given(st.integers(0, 10_000))
    def test_a_path_runs_every_layer_once_in_order(self, seed: int) -> None:
        rng = random.Random(seed)
        endpoints = []
        for endpoint in make_endpoints():
            first = rng.randrange(0, 75)
            layers = LayerRange(first, min(80, first + rng.randint(1, 20)))
            endpoints.append(
                Endpoint(
                    endpoint.id,
                    "pool",
                    "10.0.0.1",
                    1,
                    endpoint.data_centre,
                    accelerator=endpoint.accelerator,
                    layers=layers,
                )
            )
        path = find_path(
            MODEL, endpoints, "x", lambda endpoint: EndpointCost(), cross_data_centre_ms
        )
        covered = {n for e in endpoints for n in range(e.layers.first, e.layers.end)}
        if len(covered) < 80:
            assert path is None
            return
        assert path is not None
        reached = 0
        for stage in path.stages:
            assert stage.layers.first == reached
            assert stage.endpoint.layers.first <= stage.layers.first
            assert stage.layers.end <= stage.endpoint.layers.end
            reached = stage.layers.end
        assert reached == 80
        ids = [stage.endpoint.id for stage in path.stages]
        assert len(ids) == len(set(ids))

    @pytest.mark.parametrize(
        "kinds", [DATA_CENTRES, dict.fromkeys(DATA_CENTRES, "alllllllltttt")]
    )
    def test_activations_stay_inside_a_data_centre(self, kinds: dict) -> None:
        """Guards against prompts whose activations saturate the data centre links.

        Requests and responses are small, so a path may start in another data centre and
        stay there; among equal data centres it stays at home.
        """
        endpoints = make_endpoints(kinds)
        assigned: dict[str, LayerRange | None] = {}
        converge(endpoints, assigned)
        holders = [replace(e, layers=assigned[e.id]) for e in endpoints]
        for data_centre in kinds:
            path = find_path(
                MODEL,
                holders,
                data_centre,
                lambda endpoint: EndpointCost(),
                cross_data_centre_ms,
            )
            visited = {stage.endpoint.data_centre for stage in path.stages}
            assert len(visited) == 1
            if kinds is not DATA_CENTRES:
                assert visited == {data_centre}


def brute_force_cost(
    endpoints: list[Endpoint], costs: dict[str, EndpointCost], home: str
) -> float:
    """Return the least cost of all paths, with a change allowed at every layer."""
    best: list[dict[str, float]] = [{} for _ in range(MODEL.layers + 1)]
    for cut in range(MODEL.layers):
        if cut and not best[cut]:
            continue
        for endpoint in endpoints:
            layers, cost_of = endpoint.layers, costs[endpoint.id]
            if layers is None or not layers.first <= cut < layers.end:
                continue
            data_centre = endpoint.data_centre
            arrival_cost = HOP_MS + cost_of.stage_ms
            if cut:
                arrival_cost += min(
                    cost
                    + (
                        cross_data_centre_ms(source, data_centre)
                        if source != data_centre
                        else 0.0
                    )
                    for source, cost in best[cut].items()
                )
            else:
                arrival_cost += cost_of.start_ms + (
                    CROSS_DATA_CENTRE_START_MS if data_centre != home else 0.0
                )
            factor = ACCELERATORS[endpoint.accelerator].step_factor * cost_of.factor
            layer_ms = MODEL.step_ms * factor / MODEL.layers + cost_of.layer_ms
            for end in range(cut + 1, layers.end + 1):
                cost = arrival_cost + layer_ms * (end - cut)
                best[end][data_centre] = min(cost, best[end].get(data_centre, cost))
    return min(best[MODEL.layers].values(), default=float("inf"))


class TestCheapestPath:
    @given(st.integers(0, 10_000))
    def test_no_path_is_cheaper_than_the_one_found(self, seed: int) -> None:
        """Guards against a search that omits the cheapest change of endpoints."""
        rng = random.Random(seed)
        endpoints = []
        for endpoint in rng.sample(make_endpoints(), 24):
            first = rng.randrange(0, 75)
            layers = LayerRange(first, min(80, first + rng.randint(5, 40)))
            endpoints.append(replace(endpoint, layers=layers))
        costs = {}
        for endpoint in endpoints:
            costs[endpoint.id] = EndpointCost(
                rng.uniform(1, 3),
                rng.uniform(0, 0.5),
                rng.uniform(0, 5),
                rng.uniform(0, 5),
            )
        path = find_path(
            MODEL, endpoints, "x", lambda e: costs[e.id], cross_data_centre_ms
        )
        cost = path.cost_ms if path is not None else float("inf")
        assert cost == pytest.approx(brute_force_cost(endpoints, costs, "x"))


class TestFirstLayer:
    def test_each_copy_has_an_extra_holder_of_the_first_layer(self) -> None:
        """Guards against requests that queue for slots at their first endpoint."""
        endpoints = make_endpoints()
        assigned: dict[str, LayerRange | None] = {e.id: None for e in endpoints}
        converge(endpoints, assigned)
        for data_centre in DATA_CENTRES:
            first_holders = 0
            for key, layers in assigned.items():
                if key.startswith(data_centre) and layers and layers.first == 0:
                    first_holders += 1
            assert first_holders >= 1 + EXTRA_FIRST_LAYER_HOLDERS

    def test_a_holder_keeps_the_first_layer_while_it_is_scarce(self) -> None:
        """Guards against a copy whose requests all start at one endpoint."""
        endpoints = make_endpoints({"x": "hllllllllll"})
        assigned: dict[str, LayerRange | None] = {e.id: None for e in endpoints}
        converge(endpoints, assigned)
        fast = assigned["x00"]
        assert fast is not None
        assigned["x00"] = LayerRange(0, fast.end + 4)
        converge(endpoints, assigned)
        assert assigned["x00"].first == 0
        first_holders = [
            layers for layers in assigned.values() if layers and not layers.first
        ]
        assert len(first_holders) >= 1 + EXTRA_FIRST_LAYER_HOLDERS
