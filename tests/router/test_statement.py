"""What endpoints state of themselves, at one host without a network."""

from __future__ import annotations

import time
from dataclasses import replace

import pytest

from hemlockhall_router.connection.message import ResponseHead
from hemlockhall_router.policy.rest import MAX_EXTENSION_FRACTION, RETURN_REQUESTS
from hemlockhall_router.process.directory import Directory
from hemlockhall_router.process.setting import RestSection
from hemlockhall_router.process.statement import (
    CALLER_SPREAD_S,
    RETURN_TTL_S,
    EndpointsRestingError,
    EndpointStatements,
)
from hemlockhall_router.request.failure import AttemptFailedError
from hemlockhall_router.request.reason import RetryReason
from hemlockhall_router.version.endpoint import Endpoint, LayerRange
from hemlockhall_router.version.routing import Accelerator
from hemlockhall_standins.router.pool import (
    add_endpoint,
    large_model,
    make_chooser,
    make_directory,
    make_statements,
    service,
)
from hemlockhall_standins.virtual_time import VirtualClock

ENDPOINT = Endpoint("d1", "pool", "10.0.0.1", 1, "here", started_ms=1)
MODEL = large_model({"big": Accelerator(200_000.0, 1.0, 1.0)})
HALVES = (LayerRange(0, 40), LayerRange(40, 80))


def refusal(rest_s: str) -> ResponseHead:
    return ResponseHead(503, b"", [(b"not-run", b"1"), (b"rest-s", rest_s.encode())])


@pytest.fixture()
def directory() -> Directory:
    result = make_directory()
    for endpoint_id in ("d1", "d2"):
        result.add(replace(ENDPOINT, id=endpoint_id))
    return result


@pytest.fixture()
def statements(clock: VirtualClock, directory: Directory) -> EndpointStatements:
    return make_statements(directory)


class TestRest:
    def test_no_request_is_sent_until_it_is_over(
        self, statements: EndpointStatements, clock: VirtualClock
    ) -> None:
        statements.record_response(ENDPOINT, refusal("3"))
        clock.advance(2.99)
        with pytest.raises(AttemptFailedError) as raised:
            statements.check_send([ENDPOINT])
        assert raised.value.reason is RetryReason.RESTING
        assert not raised.value.may_have_run
        assert not statements.may_call(ENDPOINT)
        clock.advance(0.5)
        statements.check_send([ENDPOINT])
        assert statements.may_call(ENDPOINT)

    def test_it_is_that_of_one_incarnation(
        self, statements: EndpointStatements
    ) -> None:
        """Guards against a rest that a restarted endpoint, or another one at its
        address, inherits."""
        statements.record_response(ENDPOINT, refusal("3"))
        statements.check_send([replace(ENDPOINT, started_ms=2)])
        statements.check_send([replace(ENDPOINT, id="d2")])

    def test_other_backoffs_neither_hide_nor_end_it(
        self,
        statements: EndpointStatements,
        directory: Directory,
        clock: VirtualClock,
    ) -> None:
        """Guards against a rest that is ended by a shorter backoff, a success or an
        endpoint that is found up, or is not recorded as one of these runs."""
        directory.record_failure("d1", "no connection")
        statements.record_response(ENDPOINT, refusal("3"))
        directory.record_busy("d1")
        directory.record_success("d1", 0.1)
        directory.set_down("d1", down=True)
        directory.set_down("d1", down=False)
        directory.records["d1"].backoff_deadline = 0.0
        clock.advance(2.9)
        with pytest.raises(AttemptFailedError):
            statements.check_send([ENDPOINT])

    def test_another_endpoint_at_the_address_cannot_ask_for_it(
        self, statements: EndpointStatements
    ) -> None:
        head = ResponseHead(421, b"", [(b"rest-s", b"3")])
        statements.record_response(ENDPOINT, head)
        statements.check_send([ENDPOINT])

    @pytest.mark.parametrize("rest_s", ["soon", "", "0"])
    def test_bad_values_ask_for_none(
        self, statements: EndpointStatements, rest_s: str
    ) -> None:
        statements.record_response(ENDPOINT, refusal(rest_s))
        statements.check_send([ENDPOINT])

    def test_it_is_bounded(
        self, statements: EndpointStatements, clock: VirtualClock
    ) -> None:
        """Guards against an endpoint that is left out for hours by one response."""
        statements.cfg = RestSection(max_s=10.0)
        statements.record_response(ENDPOINT, refusal("31536000"))
        clock.advance(11.0)
        statements.check_send([ENDPOINT])

    def test_callers_are_told_to_come_back_after_it_and_apart(
        self, statements: EndpointStatements
    ) -> None:
        """Guards against callers that come back in vain, or all at once."""
        deadline = time.monotonic() + 3.0
        waits_s = [statements.retry_after_s(deadline) for _ in range(100)]
        assert 3.0 <= min(waits_s) <= max(waits_s) <= 3.0 + CALLER_SPREAD_S
        assert max(waits_s) - min(waits_s) > CALLER_SPREAD_S / 2


class TestGauges:
    def test_they_are_shown_until_the_return_is_over(
        self, statements: EndpointStatements, clock: VirtualClock
    ) -> None:
        """Guards against gauges that stay for good, as endpoints come and go."""
        statements.record_response(ENDPOINT, refusal("3"))
        clock.advance(3.0 * (1 + MAX_EXTENSION_FRACTION) + RETURN_TTL_S - 0.5)
        statements.expire()
        assert b"endpoint_rest" in statements._metrics.render()
        clock.advance(0.5)
        statements.expire()
        assert b"endpoint_rest" not in statements._metrics.render()
        assert not statements.any_resting

    def test_the_return_is_over_once_requests_were_accepted(
        self, statements: EndpointStatements, clock: VirtualClock
    ) -> None:
        statements.record_response(ENDPOINT, refusal("3"))
        clock.advance(4.0)
        for _ in range(RETURN_REQUESTS):
            statements.record_sent([ENDPOINT])
            statements.record_accepted([ENDPOINT])
        statements.expire()
        assert b"endpoint_rest" not in statements._metrics.render()


class TestPath:
    @pytest.fixture()
    def chooser(self, directory: Directory, statements: EndpointStatements):  # noqa: ANN201
        result = make_chooser(directory, "here", links=None, host_count=lambda: 1)
        result._statements = statements
        result._queueing_ms = lambda *args: 0.0
        result._data_centre_links = type("Links", (), {"burst_s": lambda *a: 0.0})()
        return result

    def rest(self, statements: EndpointStatements, record, seconds: str) -> None:  # noqa: ANN001
        statements.record_response(record.endpoint, refusal(seconds))

    def test_another_endpoint_is_used(self, directory, statements, chooser) -> None:  # noqa: ANN001
        first = add_endpoint(directory, "a1", "here", "big", LayerRange(0, 80))
        add_endpoint(directory, "a2", "here", "big", LayerRange(0, 80))
        self.rest(statements, first, "3")
        for _ in range(20):
            path = chooser.choose_path(service(MODEL), set())
            assert [endpoint.id for endpoint in path.endpoints] == ["a2"]

    def test_the_time_is_that_of_the_first_path(
        self,
        directory,
        statements,
        chooser,  # noqa: ANN001
    ) -> None:
        """Guards against callers that are told a time at which there is no path yet, or
        one that is too late: each half of the layers is held by two endpoints."""
        for name, half, seconds in (
            ("a1", HALVES[0], "2"),
            ("a2", HALVES[0], "9"),
            ("b1", HALVES[1], "5"),
            ("b2", HALVES[1], "7"),
        ):
            self.rest(
                statements, add_endpoint(directory, name, "here", "big", half), seconds
            )
        now = time.monotonic()
        for _ in range(2):
            with pytest.raises(EndpointsRestingError) as raised:
                chooser.choose_path(service(MODEL), set())
            assert 5.0 <= raised.value.deadline - now < 6.0

    def test_an_endpoint_that_rejected_the_request_counts_as_resting(
        self,
        directory,
        statements,
        chooser,  # noqa: ANN001
    ) -> None:
        """Guards against a request that waits for a path though it is known when the
        endpoint that rejected it takes requests again."""
        record = add_endpoint(directory, "a1", "here", "big", LayerRange(0, 80))
        self.rest(statements, record, "3")
        with pytest.raises(EndpointsRestingError):
            chooser.choose_path(service(MODEL), {"a1"})

    def test_rest_is_not_the_reason_if_layers_are_missing(
        self,
        directory,
        statements,
        chooser,  # noqa: ANN001
    ) -> None:
        """Guards against a time for a path that does not come with it."""
        record = add_endpoint(directory, "a1", "here", "big", HALVES[0])
        self.rest(statements, record, "3")
        assert chooser.choose_path(service(MODEL), set()) is None
