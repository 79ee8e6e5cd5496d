"""The entry host: admits callers, chooses pipelines, delivers answers."""

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
from hemlockhalld.process.hosts import Hosts
from hemlockhalld.process.limiter import Limiter
from hemlockhalld.process.poller import Poller
from hemlockhalld.process.web import Web
from hemlockhalld.request.generation import Generation, Lost
from hemlockhalld.request.plain import Plain

if TYPE_CHECKING:
    from hemlockhall_core.connection.message import AnyMessage, Call
    from hemlockhall_core.connection.peer import Peer
    from hemlockhall_core.process.setting import Settings
    from hemlockhall_core.version.document import Endpoint, Model
    from hemlockhalld.request.generation import Work

SERVE_GRACE = 3600.0
FORGET_INTERVAL = 1.0


class Entry(Process):
    """An entry host; ``settings.entry`` must be set."""

    def __init__(self, settings: Settings) -> None:
        super().__init__(settings, "entry", SECTIONS)
        assert settings.entry is not None
        self._section = settings.entry
        self.open_requests = 0
        self.limiter = Limiter(self._live_hosts)
        self._requests: dict[str, Generation | Plain] = {}
        self._drained: set[str] = set()
        kind = CHOOSERS[self._section.chooser]
        self._chooser = kind(settings.process.data_centre)
        platform = settings.platform
        table = Table(platform.table, self.metrics)
        objects = Objects(platform.objects, self.metrics)
        repository = Repository(table, objects)
        self._poller = Poller(repository, self.document_cache, self._section.poll_s)
        self._hosts = None
        if platform.hosts:
            self._hosts = Hosts(HostList(platform.hosts, self.metrics))
        self._seeds = frozenset(seed.name for seed in settings.seeds)

    def admin_address(self) -> str:
        """Return where the administrative interface listens."""
        return self._section.admin

    def in_flight(self) -> int:
        """Return the number of callers' requests in progress."""
        return self.open_requests

    async def work(self) -> None:
        """Start the tasks of this role."""
        assert self.group is not None
        self.group.start_soon(self._poller.run)
        if self._hosts is not None:
            self.group.start_soon(self._hosts.run)
        self.group.start_soon(self._forget)
        web = Web(self, self._section.body_limit)
        listen, stop = self._section.listen, self.ended.wait
        assert self.servers is not None
        self.servers.start_soon(serve_http, web, listen, SERVE_GRACE, stop)

    async def finish(self) -> None:
        """Serve on until the balancer has noticed, then end the requests."""
        # The balancer sends requests until it sees ``/readyz`` fail; a host
        # that closed its socket at once would cut those off.
        await anyio.sleep(self._section.leave_notice_s)
        await super().finish()

    def drain(self, name: str) -> bool:
        """Drain this process, or an endpoint of the document."""
        if super().drain(name):
            return True
        endpoint = self.document_cache.document.endpoints.get(name)
        if endpoint is None:
            return False
        self._drained.add(name)
        self.link.peer(name, endpoint.address).post(Drain(name))
        return True

    def new_id(self) -> str:
        """Return an id that no other request has."""
        return secrets.token_hex(8)

    def generate(self, work: Work) -> Generation:
        """Return the run of a model request; pair with ``end``."""
        generation = Generation(
            work,
            self.link,
            self.metrics,
            self.version,
            self._chain,
            self._section.repairs,
        )
        self._requests[work.request] = generation
        return generation

    def call(self, call: Call, deadline: float) -> Plain:
        """Return the run of a plain service's call; pair with ``end``."""
        plain = Plain(
            call, deadline, self.link, self.metrics, self.version, self._endpoint
        )
        self._requests[call.request] = plain
        return plain

    def end(self, request: Generation | Plain) -> None:
        """Forget a request, and what it holds elsewhere."""
        if isinstance(request, Generation):
            self._requests.pop(request.work.request, None)
        else:
            self._requests.pop(request.call.request, None)
        request.close()

    def adopted(self) -> None:
        """Connect to the endpoints of a new version."""
        for endpoint in self.document_cache.document.endpoints.values():
            self._connect(endpoint)
        self.link.announce()

    def _connect(self, endpoint: Endpoint) -> None:
        peer = self.link.peers.get(endpoint.name)
        if peer is not None and peer.address != endpoint.address:
            self.link.remove_peer(endpoint.name)
        self.link.peer(endpoint.name, endpoint.address)

    def on_message(self, peer: Peer, message: AnyMessage) -> None:
        """Act on one message."""
        if self.take_document(peer, message):
            return
        if not isinstance(message, (OutputToken, Failed, CallResponse, CallRefused)):
            return
        request = self._requests.get(message.request)
        if request is None:
            self.metrics.count_ignored_message("request_ended")
        else:
            request.post(message)  # type: ignore[arg-type]

    def on_lost(self, peer: Peer, *, restarted: bool) -> None:
        """Tell the requests that run at a peer that it is lost."""
        self._drained.discard(peer.name)
        for request in list(self._requests.values()):
            if request.uses(peer.name):
                request.post(Lost(peer.name, restarted))

    def _live_hosts(self) -> int:
        live = 1
        for name in self._seeds:
            peer = self.link.peers.get(name)
            if peer is not None and peer.ready:
                live += 1
        return live

    def _candidates(self, wanted: list[Endpoint], avoid: set[str]) -> list[Candidate]:
        leaving = self._hosts.leaving if self._hosts else frozenset()
        found: list[Candidate] = []
        for endpoint in wanted:
            name = endpoint.name
            if name in avoid or name in leaving or name in self._drained:
                continue
            peer = self.link.peers.get(name)
            if peer is None or not peer.ready or peer.state != ACTIVE:
                continue
            mine = sum(1 for r in self._requests.values() if r.uses(name))
            found.append(Candidate(endpoint, mine, peer.load))
        return found

    def _chain(self, model: Model, avoid: set[str]) -> list[Endpoint]:
        endpoints = self.document_cache.document.endpoints.values()
        wanted = [e for e in endpoints if e.model == model.base]
        return self._chooser.chain(model.layers, self._candidates(wanted, avoid))

    def _endpoint(self, service: str, avoid: set[str]) -> Endpoint | None:
        endpoints = self.document_cache.document.endpoints.values()
        wanted = [e for e in endpoints if e.service == service]
        return self._chooser.one(self._candidates(wanted, avoid))

    async def _forget(self) -> None:
        """Close connections to endpoints that the document no longer has."""
        gone_since: dict[str, float] = {}
        while True:
            await anyio.sleep(FORGET_INTERVAL)
            if not self.document_cache.version:
                # Before the first document any peer may be the one that has it.
                continue
            known = self.document_cache.document.endpoints
            for name in list(self.link.peers):
                if name in known or name in self._seeds:
                    gone_since.pop(name, None)
                    continue
                in_use = any(r.uses(name) for r in self._requests.values())
                since = gone_since.setdefault(name, time.monotonic())
                if not in_use and time.monotonic() - since > FORGET_INTERVAL:
                    gone_since.pop(name)
                    self.link.remove_peer(name)


__all__ = [
    "Entry",
]
