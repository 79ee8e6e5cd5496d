"""Health probes of endpoints."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio
from loguru import logger

from hemlockhall_router.connection.client import ClientConnection
from hemlockhall_router.connection.error import (
    ConnectRefusedError,
    NotSentError,
    TransportError,
)
from hemlockhall_router.connection.message import encode_request
from hemlockhall_router.process.dialect import DecodeError
from hemlockhall_router.process.directory import PAUSE_LIMIT_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from hemlockhall_router.connection.message import Response
    from hemlockhall_router.process.dialect import Dialect, EndpointCall
    from hemlockhall_router.process.directory import Directory, EndpointRecord
    from hemlockhall_router.process.statement import EndpointStatements
    from hemlockhall_router.request.active_stream import ActiveStream
    from hemlockhall_router.version.endpoint import Endpoint, EndpointReport

# Time in which a live and reachable endpoint answers a probe. It is short because a
# stream there must be moved within its route's longest event gap.
PROBE_TIMEOUT_S = 0.035
# The same where no stream waits: for orders, or for an endpoint already down.
RELAXED_PROBE_TIMEOUT_S = 0.4
# Largest response of an endpoint's control API. Reports have less than 1 KiB.
MAX_CALL_RESPONSE_BYTES = 65_536
# Time between two probes of an endpoint by one host. It is multiplied by the number of
# hosts in this data centre over HOSTS_PER_PROBE_INTERVAL, if that is above 1: all hosts
# probe, each probe is billed, and an endpoint answers about a hundred a second.
PROBE_INTERVAL_S = 0.5
HOSTS_PER_PROBE_INTERVAL = 4
# Growth of the factor on silence limits after probes that found nothing: under load
# streams pause although all endpoints are up. The factor decays with each poll, and is
# reset when an endpoint is found down or slow.
SILENCE_FACTOR_GROWTH = 1.6
MAX_SILENCE_FACTOR = 2.5
SILENCE_FACTOR_DECAY = 0.9975
# Time between two probes of an endpoint that is down or slow, multiplied likewise.
UNHEALTHY_PROBE_INTERVAL_S = 1.0
# If a sleep ends late by this much, this host itself counts as stalled. What it missed
# meanwhile says nothing about the endpoints.
STALL_S = 0.03
# Time between two checks of the active streams for silence.
POLL_INTERVAL_S = 0.01
# Least number of probes in a round of which a failed majority is attributed to this
# host, as slow or partitioned. Marking all these endpoints as down would turn a local
# fault into an outage.
MIN_ROUND_PROBES = 4


class CallWithheldError(NotSentError):
    """An endpoint was not called, as it asked for rest."""


@dataclass(slots=True, frozen=True)
class _FailedProbe:
    """A probe without an answer, of an incarnation, that began at a monotonic time."""

    exc: TransportError
    incarnation: tuple[str, int]
    began_at: float


class Prober:
    """Probes endpoints of silent streams, and those that are down or slow.

    Parameters
    ----------
    dialect : Dialect
        Encodes the probe and decodes the report.
    directory : Directory
        The endpoints and active streams; receives the results.
    host_count : callable
        Returns the number of hosts in this data centre.
    statements : EndpointStatements
        Gets what the responses say about the endpoints.
    """

    def __init__(
        self,
        dialect: Dialect,
        directory: Directory,
        host_count: Callable[[], int],
        statements: EndpointStatements,
    ) -> None:
        self._dialect = dialect
        self._statements = statements
        self._directory = directory
        self._host_count = host_count
        self._requested: set[str] = set()
        # Silent endpoints of which a probe waits for the answer.
        self._awaited: set[str] = set()
        self._silence_factor = 1.0
        self._polled_at = time.monotonic()
        self._reading_since = 0.0

    def request_probes(self, endpoint_ids: list[str]) -> None:
        """Queue endpoints for a probe, unless they were probed just now."""
        now = time.monotonic()
        interval_s = PROBE_INTERVAL_S * max(
            1.0, self._host_count() / HOSTS_PER_PROBE_INTERVAL
        )
        for endpoint_id in endpoint_ids:
            record = self._directory.records.get(endpoint_id)
            if record is None or record.replaced or not self.may_call(record.endpoint):
                continue
            if now - record.probed_at < interval_s:
                continue
            record.probed_at = now
            self._requested.add(endpoint_id)

    async def run(self) -> None:
        """Check for silent streams and probe endpoints until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                await anyio.sleep(POLL_INTERVAL_S)
                self._detect_stall()
                self._check_silent_streams()
                due = self._take_due()
                if due:
                    group.start_soon(self._probe_round, due, group)

    def _detect_stall(self) -> None:
        """Detect that this host was kept from reading.

        While it applies a large configuration it reads nothing, so all streams look
        silent and all probes unanswered.
        """
        now = time.monotonic()
        if now - self._polled_at > POLL_INTERVAL_S + STALL_S:
            self._reading_since = now
        self._polled_at = now

    def _check_silent_streams(self) -> None:
        now = time.monotonic()
        self._silence_factor = max(1.0, self._silence_factor * SILENCE_FACTOR_DECAY)
        for stream in self._directory.active_streams:
            if not stream.silence_exceeded(
                now, self._silence_factor, self._reading_since
            ):
                continue
            silent = self._silent_endpoints(stream, now)
            if silent:
                stream.probe_requested = True
                self.request_probes(silent)

    def _silent_endpoints(self, stream: ActiveStream, now: float) -> list[str]:
        """Return the endpoints of a silent stream that no other stream has events from.

        A stream may also pause while all of its endpoints are up, for instance if one
        processes long prompts or has no memory left. Events of other streams show which
        are up; probes would only add to their load.
        """
        found = []
        for endpoint_id in stream.endpoint_ids:
            record = self._directory.records.get(endpoint_id)
            if record is None:
                continue
            if (
                now - max(record.last_event_at, self._reading_since)
                > stream.silence_limit_s
            ):
                found.append(endpoint_id)
        return found

    def _take_due(self) -> list[str]:
        due = list(self._requested)
        self._requested.clear()
        now = time.monotonic()
        interval_s = UNHEALTHY_PROBE_INTERVAL_S * max(
            1.0, self._host_count() / HOSTS_PER_PROBE_INTERVAL
        )
        for endpoint_id, record in self._directory.records.items():
            if not record.unhealthy or not self.may_call(record.endpoint):
                continue
            if _heard_again(record):
                self._directory.set_down(endpoint_id, down=False, cause="sends events")
                continue
            if endpoint_id in self._awaited:
                continue
            if now - record.probed_at >= interval_s:
                record.probed_at = now
                due.append(endpoint_id)
        return due

    async def _probe_round(
        self, endpoint_ids: list[str], awaiting: anyio.abc.TaskGroup
    ) -> None:
        """Probe endpoints; tasks that wait for silent ones run in ``awaiting``."""
        failed: dict[str, _FailedProbe] = {}
        async with anyio.create_task_group() as group:
            for endpoint_id in endpoint_ids:
                group.start_soon(self._probe, endpoint_id, failed)
        if (
            len(endpoint_ids) >= MIN_ROUND_PROBES
            and len(failed) > len(endpoint_ids) / 2
        ):
            logger.warning(
                "most probes failed", asked=len(endpoint_ids), failed=len(failed)
            )
            return
        for endpoint_id, probe in failed.items():
            if self._apply_failure(endpoint_id, probe):
                self._awaited.add(endpoint_id)
                awaiting.start_soon(self._await_answer, endpoint_id)
        unhealthy = any(
            self._directory.unhealthy(endpoint_id) for endpoint_id in endpoint_ids
        )
        self._silence_factor = (
            1.0
            if failed or unhealthy
            else min(MAX_SILENCE_FACTOR, self._silence_factor * SILENCE_FACTOR_GROWTH)
        )

    def _apply_failure(self, endpoint_id: str, probe: _FailedProbe) -> bool:
        """Apply a failed probe; return whether the endpoint has just become silent."""
        record = self._directory.records.get(endpoint_id)
        if record is None or record.endpoint.incarnation != probe.incarnation:
            return False
        if record.last_local_event_at > probe.began_at:
            return False
        ended = isinstance(probe.exc, ConnectRefusedError)
        newly_silent = not record.down and not ended
        self._directory.set_down(
            endpoint_id, down=True, ended=ended, cause=str(probe.exc)
        )
        return newly_silent

    async def _await_answer(self, endpoint_id: str) -> None:
        """Probe a silent endpoint with a timeout that outlasts its pause.

        It answers as soon as it goes on, so that it is used again at once.
        """
        pause_deadline = time.monotonic() + PAUSE_LIMIT_S
        failed: dict[str, _FailedProbe] = {}
        try:
            await self._probe(endpoint_id, failed, PAUSE_LIMIT_S)
        finally:
            self._awaited.discard(endpoint_id)
        probe = failed.get(endpoint_id)
        if probe is None:
            return
        if isinstance(probe.exc, ConnectRefusedError):
            self._apply_failure(endpoint_id, probe)
            return
        await anyio.sleep(max(0.0, pause_deadline - time.monotonic()))
        self._directory.end_pause(endpoint_id)

    async def _probe(
        self,
        endpoint_id: str,
        failed: dict[str, _FailedProbe],
        timeout_s: float | None = None,
    ) -> None:
        """Probe an endpoint; add it to ``failed`` with the error if that fails."""
        record = self._directory.records.get(endpoint_id)
        if record is None:
            return
        if timeout_s is None:
            timeout_s = RELAXED_PROBE_TIMEOUT_S if record.down else PROBE_TIMEOUT_S
        began = time.monotonic()
        deadline = began + timeout_s
        endpoint = record.endpoint
        incarnation = endpoint.incarnation
        try:
            report = await self.fetch_report(endpoint, timeout_s)
        except CallWithheldError:
            return
        except TransportError as exc:
            late = time.monotonic() - deadline >= STALL_S
            if not late and self._reading_since < began:
                failed[endpoint_id] = _FailedProbe(exc, incarnation, began)
            return
        except DecodeError as exc:
            # It responds, so it is up; plain services have no report call.
            logger.debug("no report", endpoint=endpoint_id, cause=str(exc))
            if record.endpoint.incarnation == incarnation:
                self._directory.set_down(endpoint_id, down=False, cause="responds")
                self._directory.record_answer(endpoint, began)
            return
        if record.endpoint.incarnation != incarnation:
            # Another one started meanwhile, according to its store entry.
            return
        self._directory.set_down(endpoint_id, down=False, cause="answers probes")
        self._directory.apply_report(endpoint_id, report)
        # The report may show that another incarnation answered.
        self._directory.record_answer(endpoint, began)

    async def fetch_report(
        self, endpoint: Endpoint, timeout_s: float = RELAXED_PROBE_TIMEOUT_S
    ) -> EndpointReport:
        """Return an endpoint's report of its state.

        Raises ``CallWithheldError`` if the endpoint asked for rest, ``TransportError``
        if it does not respond within ``timeout_s`` seconds, ``DecodeError`` if the
        response holds no report.
        """
        deadline = time.monotonic() + timeout_s
        response = await self.call(endpoint, self._dialect.report_call(), deadline)
        if response.head.status != 200:
            raise DecodeError(f"status {response.head.status}")
        return self._dialect.decode_report(response.body)

    def may_call(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint may be called now."""
        return self._statements.may_call(endpoint)

    def _check_call(self, endpoint: Endpoint) -> None:
        if not self.may_call(endpoint):
            raise CallWithheldError(f"{endpoint.id} asked for rest")

    async def call(
        self, endpoint: Endpoint, call: EndpointCall, deadline: float
    ) -> Response:
        """Call an endpoint's control API on a new connection.

        Raises ``CallWithheldError`` if the endpoint asked for rest, and
        ``TransportError`` if no whole response arrives by ``deadline``.
        """
        self._check_call(endpoint)
        host, port = endpoint.address
        conn = await ClientConnection.open(host, port, deadline)
        try:
            self._check_call(endpoint)
            headers = [(b"Host", f"{host}:{port}".encode()), *call.headers]
            data = encode_request(call.method, call.target, headers, call.body)
            self._statements.record_call(endpoint)
            await conn.send(data, deadline)
            response = await conn.read_response(
                deadline, max_body_bytes=MAX_CALL_RESPONSE_BYTES
            )
        finally:
            await conn.close()
        self._statements.record_response(endpoint, response.head)
        return response


def _heard_again(record: EndpointRecord) -> bool:
    """Return whether this host has events of a silent endpoint since it was silent."""
    if not record.down or record.ended:
        return False
    return record.last_local_event_at > record.down_changed_at


__all__ = [
    "CallWithheldError",
    "Prober",
]
