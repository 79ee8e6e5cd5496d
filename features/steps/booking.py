"""Steps of the booking feature."""

from __future__ import annotations

import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import httpx
from behave import given, then, use_step_matcher, when

from hemlockhall_standins.deployment import Deployment, EndpointSpec
from hemlockhall_standins.processes import wait_for

PATH = "/services/booking/bookings"
RETRY_LATER_STATUSES = (409, 503)

use_step_matcher("parse")


@given("a deployment of a booking service with {count:d} endpoints")
def start(context: Any, count: int) -> None:
    specs = []
    for number in range(1, count + 1):
        name = f"loft-{number}"
        specs.append(EndpointSpec(name, "plain", "attica-1", service="booking"))
    deployment = Deployment(specs, call_timeout_s=4.0)
    context.deployment = context.stack.enter_context(deployment)


def book(
    deployment: Deployment, what: str, key: str | None, entry: int = 1
) -> httpx.Response:
    """Send one booking and return the response."""
    headers = {} if key is None else {"idempotency-key": key}
    with deployment.client(f"entry-{entry}") as client:
        return client.post(PATH, json={"what": what}, headers=headers)


def count_bookings(deployment: Deployment, what: str) -> int:
    """Return how often a booking took effect at all endpoints together."""
    count = 0
    for name, endpoint in deployment.endpoints.items():
        if endpoint.spec.service:
            count += deployment.tally(name)["what"].count({"what": what})
    return count


@when('"{what}" is booked with key "{key}" at entry host {entry:d}')
def book_at(context: Any, what: str, key: str, entry: int) -> None:
    context.before = getattr(context, "response", None)
    context.response = book(context.deployment, what, key, entry)


@when('"{what}" is booked without a key')
def book_keyless(context: Any, what: str) -> None:
    context.response = book(context.deployment, what, None)


@when('"{what}" is booked with key "{key}" until it is accepted')
def book_until(context: Any, what: str, key: str) -> None:
    book_until_accepted(context, what, key, 1)


@when(
    '"{what}" is booked with key "{key}" at entry host {entry:d} until it is accepted'
)
def book_until_accepted(context: Any, what: str, key: str, entry: int) -> None:
    for _ in range(20):
        context.response = book(context.deployment, what, key, entry)
        if context.response.status_code not in RETRY_LATER_STATUSES:
            break
        time.sleep(float(context.response.headers["retry-after"]))
    assert context.response.status_code == 201, context.response.text


@when('"{what}" is booked with key "{key}" until it is accepted or in progress')
def book_until_known(context: Any, what: str, key: str) -> None:
    for _ in range(20):
        context.response = book(context.deployment, what, key)
        if context.response.status_code != 503:
            break
        time.sleep(float(context.response.headers["retry-after"]))
    assert context.response.status_code in (201, 409), context.response.text


@when("{count:d} bookings are sent at the same moment, each to both entry hosts")
def book_race(context: Any, count: int) -> None:
    barrier = threading.Barrier(2 * count)

    def send(number: int) -> httpx.Response:
        barrier.wait()
        name = f"b{number // 2}"
        return book(context.deployment, name, f"key-{name}", 1 + number % 2)

    with ThreadPoolExecutor(2 * count) as pool:
        responses = list(pool.map(send, range(2 * count)))
    context.pairs = [responses[n : n + 2] for n in range(0, 2 * count, 2)]


@then("each took effect once and all responses to a key are the same")
def race_result(context: Any) -> None:
    for number, pair in enumerate(context.pairs):
        statuses = sorted(response.status_code for response in pair)
        assert statuses in ([201, 201], [201, 409]), [a.text for a in pair]
        if statuses == [201, 201]:
            assert pair[0].content == pair[1].content
        assert count_bookings(context.deployment, f"b{number}") == 1


@given("the table service loses its next {count:d} responses")
def lose_responses(context: Any, count: int) -> None:
    context.deployment.set_faults("table", lose_answers=count)


@given("the table service loses its next response and is down from then on")
def lose_response_and_go_down(context: Any) -> None:
    context.deployment.set_faults("table", lose_answers=1, down_after_loss=True)


@when("the table service is up again")
def table_up(context: Any) -> None:
    context.deployment.set_faults("table", down=False, down_after_loss=False)


@given("the table service takes {seconds:g} seconds for a response")
def table_slow(context: Any, seconds: float) -> None:
    context.deployment.set_faults("table", delay_s=seconds)


@when("the table service responds at once again")
def table_fast(context: Any) -> None:
    context.deployment.set_faults("table", delay_s=0.0)


@given("the service takes {seconds:g} seconds for a response")
def service_slow(context: Any, seconds: float) -> None:
    for name in context.deployment.endpoints:
        context.deployment.set_faults(name, answer_delay_s=seconds)


def act_during_booking(context: Any, what: str, key: str, act: Any) -> None:
    """Book in a thread; call ``act`` once a side process has the booking in flight."""
    deployment: Deployment = context.deployment

    def holder() -> str:
        for name in deployment.endpoints:
            if deployment.status(name)["in_flight"]:
                return name
        return ""

    with ThreadPoolExecutor(1) as pool:
        fut = pool.submit(book, deployment, what, key)
        context.holder = wait_for(holder, "a side process with the booking")
        act()
        try:
            context.response = fut.result()
        except httpx.HTTPError as exc:
            context.stream_error = exc


def started(deployment: Deployment, what: str) -> bool:
    """Return whether the booking has taken effect at the service."""
    return count_bookings(deployment, what) > 0


@when('"{what}" is sent with key "{key}" and the side process that has it is killed')
def kill_holder(context: Any, what: str, key: str) -> None:
    def act() -> None:
        wait_for(lambda: started(context.deployment, what), "the booking to begin")
        context.deployment.kill(context.holder)

    act_during_booking(context, what, key, act)


@when('"{what}" is sent with key "{key}" and the side process that has it is frozen')
def freeze_holder(context: Any, what: str, key: str) -> None:
    def act() -> None:
        context.deployment.send_signal(context.holder, signal.SIGSTOP)

    act_during_booking(context, what, key, act)


@when("the frozen side process is resumed")
def resume_holder(context: Any) -> None:
    context.deployment.send_signal(context.holder, signal.SIGCONT)


@when('"{what}" is sent with key "{key}" and entry host {entry:d} is killed')
def kill_entry(context: Any, what: str, key: str, entry: int) -> None:
    def act() -> None:
        context.deployment.kill(f"entry-{entry}")

    act_during_booking(context, what, key, act)


@when("the side process is replaced")
def replace_holder(context: Any) -> None:
    context.deployment.start_side(context.holder)


@then("the response has status {status:d}")
def has_status(context: Any, status: int) -> None:
    response = context.response
    assert response.status_code == status, f"{response.status_code} {response.text}"


@then("it is the same response as before")
def same_as_before(context: Any) -> None:
    assert context.response.status_code == context.before.status_code
    assert context.response.content == context.before.content


@then('the refusal is {reason} with ran "{ran}"')
def is_refusal(context: Any, reason: str, ran: str) -> None:
    response = context.response
    assert response.headers["content-type"] == "application/problem+json", response.text
    body = response.json()
    assert (body["reason"], body["ran"]) == (reason, ran), body


@then("it has a Retry-After")
def has_retry_after(context: Any) -> None:
    assert float(context.response.headers["retry-after"]) > 0


@then('the tally of "{what}" is {count:d}')
def tally_is(context: Any, what: str, count: int) -> None:
    found = count_bookings(context.deployment, what)
    assert found == count, f"{what} took effect {found} times"


@then('the tally of "{what}" is at most {count:d}')
def tally_at_most(context: Any, what: str, count: int) -> None:
    found = count_bookings(context.deployment, what)
    assert found <= count, f"{what} took effect {found} times"
