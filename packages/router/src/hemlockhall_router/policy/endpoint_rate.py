"""Observed service time of endpoints, and the choice of one for a plain request."""

from __future__ import annotations

import random
from math import inf, isfinite
from typing import TYPE_CHECKING

from hemlockhall_router.policy.room import clamp_slots

if TYPE_CHECKING:
    from collections.abc import Sequence

    from hemlockhall_router.process.directory import EndpointRecord

# Weights in the moving average of samples above and below it. Samples are often too
# high, as requests that other hosts have just sent are not known yet.
GROWTH_WEIGHT = 0.2
DECREASE_WEIGHT = 0.5
# Weight of samples with a queue. Endpoints serve urgent requests first, so that single
# samples are far too low or too high; only their mean is right.
QUEUED_WEIGHT = 0.1
# Factors by which a sample may exceed the average or be below it; others are clipped. A
# single paused response would else keep an endpoint out for long, and an error response
# within a millisecond would make it look fast.
MAX_GROWTH = 10.0
MAX_DECREASE = 4.0
# Lower bound of a service time, to keep weights finite.
MIN_SERVICE_TIME_S = 1e-4
# Upper bound of load / slots, which bounds the effect of false loads on service times.
# Endpoints that state no slots count with one and may run many requests at once.
MAX_QUEUE_FACTOR = 256.0
# Time without a response to this host after which a service time is out of date. From
# then on it is halved each time, down to that of the other endpoints, so that an
# endpoint that was slow gets another request.
UNUSED_S = 5.0
# Halvings after which any service time has reached that of the other endpoints.
MAX_HALVINGS = 30.0
# Multiples of the median service time of a service's endpoints above which one counts
# as slow, and below which it no longer does. One threshold would be crossed again and
# again by an endpoint close to it.
SLOW_FACTOR = 2.0
FAST_AGAIN_FACTOR = 1.5
# Mean delay of the loads that other hosts report, which is 0.25 s to 0.75 s.
REPORT_DELAY_S = 0.5
# Expected time of an endpoint at which its reported load counts half. A choice shows in
# the reports one delay later and changes other choices from then on. With half of this,
# simulated hosts overshoot and lose some of the capacity.
LOAD_HALF_TIME_S = 2 * REPORT_DELAY_S
# Waiting time that other hosts' requests at one endpoint count for at most, for a
# request without a deadline.
MAX_WAITING_S = 10.0
# Part of the expected waiting time that is added for the comparison with a request's
# remaining time. Without it, half of the requests at the limit are late.
WAITING_MARGIN = 0.1
# Of two endpoints, each is used with a probability inverse to this power of its
# expected time. Always using the better one overshoots: hosts that know loads half a
# second late all leave an endpoint for another until that one has the longer queue.
CHOICE_POWER = 2.0


class NoRoomError(Exception):
    """No endpoint is expected to respond within the request's remaining time.

    Parameters
    ----------
    service : str
        The service.
    expected_s : float
        The shortest expected time of the request at any of its endpoints.
    """

    def __init__(self, service: str, expected_s: float) -> None:
        super().__init__(f"no endpoint of {service} responds within {expected_s:.3f} s")
        self.service = service
        self.expected_s = expected_s


def queue_factor(load: float, slots: int) -> float:
    """Return the response time as a multiple of the service time, at a load."""
    return min(MAX_QUEUE_FACTOR, max(1.0, load / slots))


def likely_load(load: int, load_at_end: int, response_time_s: float) -> float:
    """Return the likely load of an endpoint when a request was sent.

    ``load`` was known then, ``load_at_end`` when it got its response. Requests of other
    hosts that arrived before it are reported after it was sent, and without them their
    queue would count as service time.
    """
    if load_at_end <= load:
        return load
    known_later = min(1.0, REPORT_DELAY_S / max(MIN_SERVICE_TIME_S, response_time_s))
    return load + known_later * (load_at_end - load)


def service_time_sample_s(response_time_s: float, load: float, slots: int) -> float:
    """Return the service time that a response shows, with the load when it was sent."""
    return response_time_s / queue_factor(load, slots)


def average_s(service_time_s: float, sample_s: float, *, queued: bool = False) -> float:
    """Return the moving average of the service time with one more sample.

    ``queued`` tells whether there were more requests than slots.
    """
    lowest_s = max(MIN_SERVICE_TIME_S, service_time_s / MAX_DECREASE)
    sample_s = min(service_time_s * MAX_GROWTH, max(lowest_s, sample_s))
    weight = GROWTH_WEIGHT if sample_s > service_time_s else DECREASE_WEIGHT
    if queued:
        weight = QUEUED_WEIGHT
    return service_time_s + weight * (sample_s - service_time_s)


def is_fresh(record: EndpointRecord, now: float) -> bool:
    """Return whether the service time of an endpoint is up to date."""
    return now - record.sampled_at <= UNUSED_S


def on_trial(record: EndpointRecord, now: float) -> bool:
    """Return whether an endpoint gets only one request at a time from this host."""
    return record.failures > 0 or not is_fresh(record, now)


def waiting_time_s(record: EndpointRecord, now: float) -> float:
    """Return the least service time that explains how long this host has waited.

    The response time of a slow endpoint is only known at its end, when many more
    requests would have been sent to it.
    """
    if record.waiting_since is None:
        return 0.0
    load = max(record.load, record.waiting_load)
    waited_s = now - record.waiting_since
    return service_time_sample_s(waited_s, load, clamp_slots(record.endpoint.slots))


def typical_service_time_s(
    records: Sequence[EndpointRecord], now: float
) -> float | None:
    """Return the mean service time of the endpoints for which it is up to date.

    It is None if there are none. Endpoints count by what they complete, so that it is
    near that of the fast ones.
    """
    slots_sum, rate = 0, 0.0
    for record in records:
        if not is_fresh(record, now):
            continue
        slots = clamp_slots(record.endpoint.slots)
        slots_sum += slots
        rate += slots / max(MIN_SERVICE_TIME_S, record.service_time_s)
    return slots_sum / rate if rate else None


def median_service_time_s(records: Sequence[EndpointRecord], now: float) -> float:
    """Return the median service time of the endpoints for which it is up to date.

    It is the lower one of the two in the middle, so that one of two endpoints can be
    slow, and 0 if there are none.
    """
    times_s = sorted(
        record.service_time_s for record in records if is_fresh(record, now)
    )
    return times_s[(len(times_s) - 1) // 2] if times_s else 0.0


def is_slow(record: EndpointRecord, median_s: float) -> bool:
    """Return whether an endpoint counts as slow beside the median of its service."""
    factor = FAST_AGAIN_FACTOR if record.slow else SLOW_FACTOR
    return record.service_time_s > factor * median_s


def current_service_time_s(
    record: EndpointRecord, typical_s: float | None, now: float
) -> float:
    """Return the service time to assume of an endpoint at present.

    ``typical_s`` is that of the other endpoints. It is assumed of an untried one, and a
    service time that is out of date approaches it.
    """
    service_time_s = max(MIN_SERVICE_TIME_S, record.service_time_s)
    if record.sampled_at == -inf:
        if typical_s is not None:
            service_time_s = typical_s
    elif not is_fresh(record, now):
        unused_s = now - record.sampled_at - UNUSED_S
        halved_s = service_time_s / 2 ** min(MAX_HALVINGS, unused_s / UNUSED_S)
        lowest_s = MIN_SERVICE_TIME_S if typical_s is None else typical_s
        service_time_s = min(service_time_s, max(lowest_s, halved_s))
    if record.in_flight:
        return max(service_time_s, waiting_time_s(record, now))
    return service_time_s


def expected_times_s(
    records: Sequence[EndpointRecord],
    service_times_s: Sequence[float],
    remaining_s: float,
) -> list[float]:
    """Return the expected time of one more request at each endpoint.

    An endpoint that serves its queue before other hosts' loads are known has other
    requests by then, so its reported load is partly replaced by its share of all
    reported requests, in proportion to its rate. ``remaining_s`` is the time until the
    request's deadline, beyond which the waiting time does not matter.
    """
    slots = [clamp_slots(record.endpoint.slots) for record in records]
    limit_s = max(MIN_SERVICE_TIME_S, min(MAX_WAITING_S, remaining_s))
    remote, rate = 0.0, 0.0
    for number, record in enumerate(records):
        endpoint_rate = slots[number] / service_times_s[number]
        # A false load of one endpoint must not make the others look full.
        remote += min(record.remote_in_flight, endpoint_rate * limit_s)
        rate += endpoint_rate
    waiting_s = remote / rate
    found = []
    for number, record in enumerate(records):
        time_s = service_times_s[number]
        reported_s = time_s * queue_factor(record.load + 1, slots[number])
        known = reported_s / (reported_s + LOAD_HALF_TIME_S)
        load = known * record.remote_in_flight
        load += (1 - known) * waiting_s * slots[number] / time_s
        load += record.in_flight + 1
        found.append(time_s * queue_factor(load, slots[number]))
    return found


def select_endpoint(
    records: Sequence[EndpointRecord],
    now: float,
    objective_s: float,
    remaining_s: float,
    lapsed_factor: float,
) -> EndpointRecord:
    """Return an endpoint for a request, by weighted two-choice load balancing.

    Two endpoints are drawn with weights proportional to their rates, and the one with
    the shorter expected time is preferred. The draw keeps hosts that do not know of
    each other's choices yet from choosing the same endpoint.

    Endpoints that are expected to respond within ``objective_s`` are preferred, unless
    it is 0, and among them those that are not on trial with a request of this host.

    Parameters
    ----------
    records : sequence of EndpointRecord
        The endpoints that may get the request, at least one.
    now : float
        Monotonic time.
    objective_s : float
        Latency objective, 0 for none.
    remaining_s : float
        Time until the request's deadline.
    lapsed_factor : float
        Cost factor of an endpoint whose store entry lapsed. It does not count for the
        objective and the remaining time, as all entries may lapse in a store outage.

    Raises
    ------
    NoRoomError
        If no endpoint is expected to respond within the remaining time. One that is on
        trial without a request of this host can always get one, as its service time is
        not known.
    """
    typical_s = typical_service_time_s(records, now)
    times_s = [current_service_time_s(record, typical_s, now) for record in records]
    expected_s = expected_times_s(records, times_s, remaining_s)
    groups: tuple[list[int], ...] = ([], [], [], [])
    weights, costs = [], []
    for number, record in enumerate(records):
        slots = clamp_slots(record.endpoint.slots)
        factor = lapsed_factor if record.entry_lapsed else 1.0
        weights.append(slots / (times_s[number] * factor))
        costs.append(expected_s[number] * factor)
        trial = on_trial(record, now)
        waiting_s = expected_s[number] - times_s[number]
        late = expected_s[number] + WAITING_MARGIN * waiting_s > remaining_s
        if late and not (trial and not record.in_flight):
            continue
        full = 0 < objective_s < expected_s[number]
        has_queue = record.load >= slots
        if not trial or not (record.in_flight or has_queue):
            groups[2 if full else 0].append(number)
        else:
            groups[3 if full or has_queue else 1].append(number)
    for group in groups:
        if group:
            return records[_draw(group, weights, costs)]
    raise NoRoomError(records[0].endpoint.service, min(expected_s))


def _draw(group: list[int], weights: list[float], costs: list[float]) -> int:
    """Return one of two that are drawn, the cheaper one with a higher probability."""
    group_weights = [weights[number] for number in group]
    first, second = random.choices(group, group_weights, k=2)  # noqa: S311
    if first == second:
        return first
    ratio = (costs[first] / costs[second]) ** CHOICE_POWER
    return first if random.random() < 1 / (1 + ratio) else second  # noqa: S311


def is_valid_time(seconds: float) -> bool:
    """Return whether a measured time can be used as a sample."""
    return isfinite(seconds) and seconds >= 0.0


__all__ = [
    "NoRoomError",
    "average_s",
    "current_service_time_s",
    "expected_times_s",
    "is_fresh",
    "is_slow",
    "is_valid_time",
    "likely_load",
    "median_service_time_s",
    "on_trial",
    "queue_factor",
    "select_endpoint",
    "service_time_sample_s",
    "typical_service_time_s",
    "waiting_time_s",
]
