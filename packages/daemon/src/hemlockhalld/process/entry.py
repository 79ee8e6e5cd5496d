"""Entry host: admits requests, chooses pipelines, delivers responses."""

from __future__ import annotations

import secrets
import time
from typing import TYPE_CHECKING

import anyio

from hemlockhall_core.connection.message import (
    CallRefused,
    CallResponse,
    Drain,
    Failed,
    OutputToken,
)
from hemlockhall_core.process.table import HostList, Objects, Table
from hemlockhall_core.version.document import SECTIONS
from hemlockhall_core.version.repository import Repository
from hemlockhalld.process.admin import serve_http
from hemlockhalld.process.base import ACTIVE, Process
from hemlockhalld.process.chooser import CHOOSERS, Candidate
from hemlockhalld.process.document_poller import DocumentPoller
from hemlockhalld.process.host_list import HostListPoller
from hemlockhalld.process.limiter import Limiter
from hemlockhalld.process.rest import ServiceRests
from hemlockhalld.process.web import CallerApp
from hemlockhalld.request.generation import Generation, PeerLost
from hemlockhalld.request.service_call import ServiceCall

if TYPE_CHECKING:
    from hemlockhall_core.connection.message import AnyMessage, Call
    from hemlockhall_core.connection.peer import Peer
    from hemlockhall_core.process.setting import Settings
    from hemlockhall_core.version.document import Endpoint, Model
    from hemlockhalld.request.generation import GenerationParams

# Limit on the responses in progress when the server of callers stops.
SERVE_SHUTDOWN_TIMEOUT_S = 3600.0
# Time between two checks, and least time for which a removed peer was not needed.
REMOVE_INTERVAL_S = 1.0


class Entry(Process):
    """An entry host; ``settings.entry`` must be set."""

    def __init__(self, settings: Settings) -> None:
        super().__init__(settings, "entry", SECTIONS)
        assert settings.entry is not None
        self._cfg = settings.entry
        self.open_requests = 0
        self.limiter = Limiter(self._live_host_count)
        self._service_rests = ServiceRests()
        self._requests: dict[str, Generation | ServiceCall] = {}
        self._draining: set[str] = set()
        chooser_type = CHOOSERS[self._cfg.chooser]
        self._chooser = chooser_type(settings.process.data_centre)
        platform = settings.platform
        table = Table(platform.table, self.metrics)
        objects = Objects(platform.objects, self.metrics)
        repository = Repository(table, objects)
        self._document_poller = DocumentPoller(
            repository, self.document_cache, self._cfg.poll_s
        )
        self._host_list = None
        if platform.hosts:
            self._host_list = HostListPoller(HostList(platform.hosts, self.metrics))
        self._seeds = frozenset(seed.name for seed in settings.seeds)

    def admin_address(self) -> str:
        """Return the listen address of the administrative interface, ``IP:port``."""
        return self._cfg.admin

    def in_flight(self) -> int:
        """Return the number of callers' open requests, health checks included."""
        return self.open_requests

    async def start_tasks(self) -> None:
        """Start the tasks of this role."""
        assert self.task_group is not None
        self.task_group.start_soon(self._document_poller.run)
        if self._host_list is not None:
            self.task_group.start_soon(self._host_list.run)
        self.task_group.start_soon(self._remove_old_peers)
        app = CallerApp(self, self._cfg.body_limit)
        listen, stop = self._cfg.listen, self.stopped.wait
        assert self.server_group is not None
        self.server_group.start_soon(
            serve_http, app, listen, SERVE_SHUTDOWN_TIMEOUT_S, stop
        )

    async def wait_finished(self) -> None:
        """Keep serving for ``leave_notice_s``, then until the requests have ended."""
        # The load balancer sends requests until it sees ``/readyz`` fail; closing
        # the listening socket at once would break those.
        await anyio.sleep(self._cfg.leave_notice_s)
        await super().wait_finished()

    def drain(self, name: str) -> bool:
        """Drain this process or an endpoint; return False for an unknown name."""
        if super().drain(name):
            return True
        endpoint = self.document_cache.document.endpoints.get(name)
        if endpoint is None:
            return False
        self._draining.add(name)
        self.link.peer(name, endpoint.address).post(Drain(name))
        return True

    def new_id(self) -> str:
        """Return a unique request id."""
        return secrets.token_hex(8)

    def start_generation(self, params: GenerationParams) -> Generation:
        """Return a new generation; pair with ``end_request``."""
        generation = Generation(
            params,
            self.link,
            self.metrics,
            self.version,
            self._choose_pipeline,
            self._cfg.repairs,
        )
        self._requests[params.request_id] = generation
        return generation

    def start_call(self, call: Call, deadline: float) -> ServiceCall:
        """Return a new call of a plain service; pair with ``end_request``."""
        service_call = ServiceCall(
            call,
            deadline,
            self.link,
            self.metrics,
            self.version,
            self._choose_endpoint,
            rests=self._service_rests,
        )
        self._requests[call.request] = service_call
        return service_call

    def end_request(self, request: Generation | ServiceCall) -> None:
        """Forget a request; free its slots, or cancel its call if not started."""
        if isinstance(request, Generation):
            self._requests.pop(request.params.request_id, None)
        else:
            self._requests.pop(request.call.request, None)
        request.close()

    def on_document_adopted(self) -> None:
        """Connect to the endpoints of the adopted document."""
        for endpoint in self.document_cache.document.endpoints.values():
            self._connect(endpoint)
        self.link.announce()

    def _connect(self, endpoint: Endpoint) -> None:
        peer = self.link.peers.get(endpoint.name)
        if peer is not None and peer.address != endpoint.address:
            self.link.remove_peer(endpoint.name)
        self.link.peer(endpoint.name, endpoint.address)

    def on_message(self, peer: Peer, message: AnyMessage) -> None:
        """Pass a message to its request, or to the document cache."""
        if self.handle_document_message(peer, message):
            return
        if not isinstance(message, (OutputToken, Failed, CallResponse, CallRefused)):
            return
        request = self._requests.get(message.request)
        if request is None:
            self.metrics.count_ignored_message("request_ended")
        else:
            request.post(message)  # type: ignore[arg-type]

    def on_lost(self, peer: Peer, *, restarted: bool) -> None:
        """Notify the requests that run at a lost peer."""
        self._draining.discard(peer.name)
        for request in list(self._requests.values()):
            if request.uses(peer.name):
                request.post(PeerLost(peer.name, restarted))

    def _live_host_count(self) -> int:
        live = 1
        for name in self._seeds:
            peer = self.link.peers.get(name)
            if peer is not None and peer.ready:
                live += 1
        return live

    def _candidates(
        self, endpoints: list[Endpoint], excluded: set[str]
    ) -> list[Candidate]:
        leaving = self._host_list.leaving if self._host_list else frozenset()
        candidates: list[Candidate] = []
        for endpoint in endpoints:
            name = endpoint.name
            if name in excluded or name in leaving or name in self._draining:
                continue
            peer = self.link.peers.get(name)
            if peer is None or not peer.ready or peer.state != ACTIVE:
                continue
            in_flight = sum(1 for r in self._requests.values() if r.uses(name))
            candidates.append(Candidate(endpoint, in_flight, peer.load))
        return candidates

    def _choose_pipeline(self, model: Model, excluded: set[str]) -> list[Endpoint]:
        endpoints = self.document_cache.document.endpoints.values()
        matching = [e for e in endpoints if e.model == model.base]
        return self._chooser.choose_pipeline(
            model.layers, self._candidates(matching, excluded)
        )

    def _choose_endpoint(self, service: str, excluded: set[str]) -> Endpoint | None:
        endpoints = self.document_cache.document.endpoints.values()
        matching = [e for e in endpoints if e.service == service]
        return self._chooser.choose_endpoint(self._candidates(matching, excluded))

    async def _remove_old_peers(self) -> None:
        """Remove peers that are neither endpoints of the document nor seeds."""
        removed_since: dict[str, float] = {}
        while True:
            await anyio.sleep(REMOVE_INTERVAL_S)
            if not self.document_cache.version:
                # Until the first document is adopted, any peer may provide it.
                continue
            endpoints = self.document_cache.document.endpoints
            for name in list(self.link.peers):
                if name in endpoints or name in self._seeds:
                    removed_since.pop(name, None)
                    continue
                in_use = any(r.uses(name) for r in self._requests.values())
                since = removed_since.setdefault(name, time.monotonic())
                if not in_use and time.monotonic() - since > REMOVE_INTERVAL_S:
                    removed_since.pop(name)
                    self.link.remove_peer(name)


__all__ = [
    "Entry",
]
