"""Layouts: whole copies, memory never over, holes filled."""

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

KINDS = {
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
    accelerators=KINDS,
    typical_prompt_tokens=772.0,
    typical_output_tokens=167.0,
    concurrent_loads=6,
)
# Endpoints whose loss leaves two data centres with holes that nobody can take
# without giving up layers that it serves.
LOSSES = {"x00", "x02", "z00", "z04", "z06", "z07", "z08"}
PLACES = {"x": "alllllllltttt", "y": "aallllttttttt", "z": "halllllttttttt"}


def endpoints(places: dict[str, str] = PLACES) -> list[Endpoint]:
    made = []
    for place, kinds in places.items():
        for number, kind in enumerate(kinds):
            key = f"{place}{number:02}"
            made.append(Endpoint(key, "pool", "10.0.0.1", 1, place, accelerator=kind))
    return made


def settle(found: list[Endpoint], assigned: dict[str, LayerRange | None]) -> int:
    """Carry out orders until there are none; return how many there were."""
    count = 0
    for _ in range(40):
        orders = plan_layout(MODEL, found, assigned)
        if not orders:
            return count
        count += len(orders)
        assigned.update(orders)
    pytest.fail("the plan does not come to rest")


def uncovered(found: list[Endpoint], assigned: dict, place: str) -> list[LayerRange]:
    members = []
    for endpoint in found:
        if endpoint.data_centre == place and assigned.get(endpoint.id):
            members.append(Member(endpoint, 1, assigned[endpoint.id]))
    return Coverage(MODEL, members).gaps()


def counts(found: list[Endpoint], assigned: dict, place: str) -> list[int]:
    """Return how many endpoints of a data centre hold each layer."""
    coverage = Coverage(MODEL, [])
    for endpoint in found:
        if endpoint.data_centre == place and assigned.get(endpoint.id):
            coverage.add(assigned[endpoint.id])
    return coverage.counts


def gives_up(found: list[Endpoint], old: dict, new: dict, place: str) -> bool:
    """Return whether a data centre serves a layer less while orders load."""
    left = Coverage(MODEL, [])
    for endpoint in found:
        before, after = old[endpoint.id], new[endpoint.id]
        if endpoint.data_centre != place or before is None:
            continue
        first, end = max(before.first, after.first), min(before.end, after.end)
        left.add(LayerRange(first, max(first, end)))
    served = counts(found, old, place)
    return any(was and not now for was, now in zip(served, left.counts, strict=True))


def within_memory(found: list[Endpoint], assigned: dict) -> bool:
    for endpoint in found:
        layers = assigned.get(endpoint.id)
        if layers and layers.size > MODEL.capacity(endpoint.accelerator):
            return False
    return True


def cross_data_centre_ms(here: str, there: str) -> float:
    return 12.0


def fill_fraction(endpoint: Endpoint, assigned: dict) -> float:
    return assigned[endpoint.id].size / MODEL.capacity(endpoint.accelerator)


class TestFirstPlan:
    def test_each_data_centre_holds_a_copy_within_memory(self) -> None:
        found = endpoints()
        assigned: dict[str, LayerRange | None] = {}
        assert settle(found, assigned) == len(found)
        assert within_memory(found, assigned)
        for place in PLACES:
            assert uncovered(found, assigned, place) == []

    def test_small_data_centres_share_a_copy(self) -> None:
        found = endpoints({"x": "ll", "y": "hh", "z": "tt"})
        assigned: dict[str, LayerRange | None] = {}
        settle(found, assigned)
        members = [Member(e, 1, assigned[e.id]) for e in found if assigned.get(e.id)]
        assert Coverage(MODEL, members).gaps() == []
        assert within_memory(found, assigned)


class TestLoss:
    @pytest.mark.parametrize("place", list(PLACES))
    def test_any_single_loss_is_mended(self, place: str) -> None:
        for lost in range(len(PLACES[place])):
            found = endpoints()
            assigned: dict[str, LayerRange | None] = {}
            settle(found, assigned)
            found = [e for e in found if e.id != f"{place}{lost:02}"]
            settle(found, assigned)
            assert uncovered(found, assigned, place) == [], lost
            assert within_memory(found, assigned)

    @pytest.mark.parametrize("place", list(PLACES))
    def test_a_loss_moves_few_layers(self, place: str) -> None:
        """Callers are refused while layers are loaded. A plan that shared all
        layers of the data centre out anew took the whole copy out of service
        for the loss of one endpoint, and of all copies for three losses."""
        for lost in range(len(PLACES[place])):
            found = endpoints()
            assigned: dict[str, LayerRange | None] = {}
            settle(found, assigned)
            gone = assigned[f"{place}{lost:02}"]
            found = [e for e in found if e.id != f"{place}{lost:02}"]
            before = dict(assigned)
            orders = plan_layout(MODEL, found, assigned)
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

    def test_the_last_whole_copy_is_not_shared_out_anew(self) -> None:
        """Losses in all data centres at once leave holes that neighbours
        cannot fill. If all were rebuilt together nobody would be served."""
        found = endpoints()
        assigned: dict[str, LayerRange | None] = {}
        settle(found, assigned)
        found = [e for e in found if e.id[0] != "y" or e.id < "y06"]
        assigned = {e.id: assigned[e.id] for e in found}
        for key, layers in plan_layout(MODEL, found, assigned).items():
            assert key.startswith("y"), layers

    def test_an_endpoint_that_comes_back_empty_holds_layers_a_second_time(
        self,
    ) -> None:
        """While it was away others held its layers. What it holds on its
        return must protect layers that one holder has, and the others must
        get back the memory for requests that they gave up."""
        found = endpoints()
        assigned: dict[str, LayerRange | None] = {}
        settle(found, assigned)
        without = [e for e in found if e.id != "x05"]
        settle(without, assigned)
        del assigned["x05"]
        single = [n for n in range(80) if counts(without, assigned, "x")[n] == 1]
        assigned["x05"] = None
        settle(found, assigned)
        assert uncovered(found, assigned, "x") == []
        relief = assigned["x05"]
        assert relief is not None
        assert set(range(relief.first, relief.end)) <= set(single)
        assert max(fill_fraction(e, assigned) for e in found) <= DEFAULT_FILL

    @pytest.mark.parametrize("place", list(PLACES))
    def test_the_mending_of_a_loss_takes_nothing_out_of_service(
        self, place: str
    ) -> None:
        """An endpoint dies. Holders that shift towards the hole give up layers
        that nobody else holds, and the copy is away for longer than the hole;
        orders may only give up what another endpoint serves."""
        for lost in range(len(PLACES[place])):
            found = endpoints()
            assigned: dict[str, LayerRange | None] = {}
            settle(found, assigned)
            found = [e for e in found if e.id != f"{place}{lost:02}"]
            assigned.pop(f"{place}{lost:02}")
            before = counts(found, assigned, place)
            orders = plan_layout(MODEL, found, assigned)
            for key, layers in orders.items():
                old = assigned[key]
                for layer in range(old.first, old.end):
                    if not layers.first <= layer < layers.end:
                        before[layer] -= 1
                        assert before[layer] > 0, (lost, key)

    def test_small_endpoints_take_a_hole_before_large_ones(self) -> None:
        """An endpoint with eight layers dies. The fastest accelerator's layers
        are all held by others too, and it alone has room for eight; taken, it
        waited eight seconds for its streams to end before it loaded, and the
        copy was away for as long. Two small ones take the hole instead."""
        found = endpoints()
        assigned: dict[str, LayerRange | None] = {}
        settle(found, assigned)
        assigned = {key: layers for key, layers in assigned.items() if key != "z03"}
        found = [e for e in found if e.id != "z03"]
        orders = plan_layout(MODEL, found, assigned)
        kinds = {e.id: e.accelerator for e in found}
        assert orders
        assert {kinds[key] for key in orders} <= {"l", "t"}

    def test_a_copy_that_is_being_loaded_is_not_counted_as_serving(self) -> None:
        """Many losses leave two data centres with holes that cannot be mended,
        and the first is shared out anew. While it loads, the second must stay
        as it is: counting the layers ordered as held took both out of service
        at once, and the third alone could not serve their callers."""
        found = endpoints()
        assigned: dict[str, LayerRange | None] = {}
        settle(found, assigned)
        found = [e for e in found if e.id not in LOSSES]
        serving = {e.id: assigned[e.id] for e in found}
        assigned = dict(serving)
        for _ in range(10):
            orders = plan_layout(MODEL, found, assigned, serving)
            assigned.update(orders)
        away = []
        for place in PLACES:
            if gives_up(found, serving, assigned, place):
                away.append(place)
        assert len(away) == 1

    @given(st.integers(0, 10_000))
    def test_any_losses_leave_copies_where_memory_suffices(self, seed: int) -> None:
        rng = random.Random(seed)
        found = endpoints()
        assigned: dict[str, LayerRange | None] = {}
        settle(found, assigned)
        for _ in range(3):
            for endpoint in rng.sample(found, rng.randint(1, 4)):
                if rng.random() < 0.5:
                    assigned[endpoint.id] = None
                else:
                    found.remove(endpoint)
                    assigned.pop(endpoint.id)
            settle(found, assigned)
            assert within_memory(found, assigned)
        for place in PLACES:
            total = sum(
                MODEL.capacity(e.accelerator) for e in found if e.data_centre == place
            )
            if total >= MODEL.layers * 1.2:
                assert uncovered(found, assigned, place) == []


class TestBalance:
    def test_an_endpoint_that_took_over_too_much_is_relieved(self) -> None:
        """Neighbours of a lost endpoint took its layers beside their own and
        have memory for a few requests left. All requests of the data centre
        pass them: until they get rid of layers most requests are refused,
        while others could hold these a second time."""
        found = endpoints()
        assigned: dict[str, LayerRange | None] = {}
        settle(found, assigned)
        tight = next(e for e in found if e.id == "z03")
        layers = assigned[tight.id]
        assigned[tight.id] = LayerRange(layers.first, layers.first + 11)
        shifted = next(e for e in found if assigned[e.id].first == layers.end)
        assigned[shifted.id] = LayerRange(layers.end + 3, assigned[shifted.id].end)
        settle(found, assigned)
        assert uncovered(found, assigned, "z") == []
        assert fill_fraction(tight, assigned) <= DEFAULT_FILL

    def test_a_tight_endpoint_does_not_keep_others_from_growing(self) -> None:
        """One endpoint has too many layers and nobody can be spared to relieve
        it. Others hold fewer than they have memory for; they must grow, as that
        is what makes somebody spare."""
        found = endpoints({"x": "llllllllll"})
        assigned: dict[str, LayerRange | None] = {}
        first = 0
        sizes = (11, 7, 7, 7, 8, 8, 8, 8, 8, 8)
        for endpoint, size in zip(found, sizes, strict=True):
            assigned[endpoint.id] = LayerRange(first, first + size)
            first += size
        settle(found, assigned)
        assert uncovered(found, assigned, "x") == []
        assert sum(assigned[e.id].size for e in found) > 80

    def test_neighbours_take_a_hole_only_if_nobody_can_be_spared(self) -> None:
        """An endpoint dies, and its neighbours have memory for its layers if
        they keep a few requests' worth only. Every request passes them then,
        and most were refused, while small endpoints held layers that others
        held too."""
        found = endpoints()
        assigned: dict[str, LayerRange | None] = {}
        settle(found, assigned)
        for lost in ("x08", "y06", "z05"):
            after = {key: layers for key, layers in assigned.items() if key != lost}
            left = [e for e in found if e.id != lost]
            after.update(plan_layout(MODEL, left, after))
            assert uncovered(left, after, lost[0]) == []
            assert max(fill_fraction(e, after) for e in left) <= 0.8


class TestGivingUp:
    def test_holders_of_the_same_layers_do_not_all_give_them_up(self) -> None:
        """Three endpoints are full of the same layers and have no memory for
        requests. Were each ordered to give up what the others hold, all would
        give up the same layers and nobody would have a path."""
        kinds = {"f": Accelerator(80 * 1750.0, 1.0, 1.0)}
        model = replace(MODEL, accelerators=kinds)
        found = []
        for number in range(3):
            key = f"f{number}"
            found.append(Endpoint(key, "pool", "h", 1, "x", accelerator="f"))
        assigned: dict[str, LayerRange | None] = {}
        for endpoint in found:
            assigned[endpoint.id] = LayerRange(0, 80)
        for _ in range(5):
            assigned.update(plan_layout(model, found, assigned))
            assert uncovered(found, assigned, "x") == []
        assert max(assigned[e.id].size for e in found) <= DEFAULT_FILL * 80


class TestPaths:
    @given(st.integers(0, 10_000))
    def test_a_path_runs_every_layer_once_in_order(self, seed: int) -> None:
        rng = random.Random(seed)
        found = []
        for endpoint in endpoints():
            first = rng.randrange(0, 75)
            layers = LayerRange(first, min(80, first + rng.randint(1, 20)))
            found.append(
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
            MODEL, found, "x", lambda endpoint: EndpointCost(), cross_data_centre_ms
        )
        covered = {n for e in found for n in range(e.layers.first, e.layers.end)}
        if len(covered) < 80:
            assert path is None
            return
        assert path is not None
        reached = 0
        for part in path.stages:
            assert part.layers.first == reached
            assert part.endpoint.layers.first <= part.layers.first
            assert part.layers.end <= part.endpoint.layers.end
            reached = part.layers.end
        assert reached == 80
        ids = [part.endpoint.id for part in path.stages]
        assert len(ids) == len(set(ids))

    @pytest.mark.parametrize("kinds", [PLACES, dict.fromkeys(PLACES, "alllllllltttt")])
    def test_activations_stay_inside_a_data_centre(self, kinds: dict) -> None:
        """Activations of a prompt fill the pipes between data centres, while a
        caller's bytes do not: a path may start elsewhere, and then stays there.
        Where all data centres are alike, it stays at home."""
        found = endpoints(kinds)
        assigned: dict[str, LayerRange | None] = {}
        settle(found, assigned)
        holders = [replace(e, layers=assigned[e.id]) for e in found]
        for place in kinds:
            path = find_path(
                MODEL,
                holders,
                place,
                lambda endpoint: EndpointCost(),
                cross_data_centre_ms,
            )
            places = {part.endpoint.data_centre for part in path.stages}
            assert len(places) == 1
            if kinds is not PLACES:
                assert places == {place}


def naive_cost(
    found: list[Endpoint], costs: dict[str, EndpointCost], home: str
) -> float:
    """Return the least cost of all paths, with a change at every layer."""
    best: list[dict[str, float]] = [{} for _ in range(MODEL.layers + 1)]
    for cut in range(MODEL.layers):
        if cut and not best[cut]:
            continue
        for endpoint in found:
            layers, cost_of = endpoint.layers, costs[endpoint.id]
            if layers is None or not layers.first <= cut < layers.end:
                continue
            place = endpoint.data_centre
            reach = HOP_MS + cost_of.stage_ms
            if cut:
                reach += min(
                    cost + (cross_data_centre_ms(here, place) if here != place else 0.0)
                    for here, cost in best[cut].items()
                )
            else:
                reach += cost_of.start_ms + (
                    CROSS_DATA_CENTRE_START_MS if place != home else 0.0
                )
            factor = KINDS[endpoint.accelerator].step_factor * cost_of.factor
            layer_ms = MODEL.step_ms * factor / MODEL.layers + cost_of.layer_ms
            for end in range(cut + 1, layers.end + 1):
                cost = reach + layer_ms * (end - cut)
                best[end][place] = min(cost, best[end].get(place, cost))
    return min(best[MODEL.layers].values(), default=float("inf"))


class TestLeastCost:
    @given(st.integers(0, 10_000))
    def test_no_path_is_cheaper_than_the_one_found(self, seed: int) -> None:
        """Guards against a search that leaves out the cheapest change of endpoints."""
        rng = random.Random(seed)
        found = []
        for endpoint in rng.sample(endpoints(), 24):
            first = rng.randrange(0, 75)
            layers = LayerRange(first, min(80, first + rng.randint(5, 40)))
            found.append(replace(endpoint, layers=layers))
        costs = {}
        for endpoint in found:
            costs[endpoint.id] = EndpointCost(
                rng.uniform(1, 3),
                rng.uniform(0, 0.5),
                rng.uniform(0, 5),
                rng.uniform(0, 5),
            )
        path = find_path(MODEL, found, "x", lambda e: costs[e.id], cross_data_centre_ms)
        cost = path.cost_ms if path is not None else float("inf")
        assert cost == pytest.approx(naive_cost(found, costs, "x"))


class TestStarts:
    def test_each_copy_has_a_spare_holder_of_the_first_layer(self) -> None:
        """Guards against requests that queue for places at their first endpoint."""
        found = endpoints()
        assigned: dict[str, LayerRange | None] = {e.id: None for e in found}
        settle(found, assigned)
        for place in PLACES:
            starts = 0
            for key, layers in assigned.items():
                if key.startswith(place) and layers and layers.first == 0:
                    starts += 1
            assert starts >= 1 + EXTRA_FIRST_LAYER_HOLDERS

    def test_a_holder_keeps_the_first_layer_while_it_is_scarce(self) -> None:
        """Guards against a copy whose requests all start at one endpoint."""
        found = endpoints({"x": "hllllllllll"})
        assigned: dict[str, LayerRange | None] = {e.id: None for e in found}
        settle(found, assigned)
        fast = assigned["x00"]
        assert fast is not None
        assigned["x00"] = LayerRange(0, fast.end + 4)
        settle(found, assigned)
        assert assigned["x00"].first == 0
        starts = [layers for layers in assigned.values() if layers and not layers.first]
        assert len(starts) >= 1 + EXTRA_FIRST_LAYER_HOLDERS
