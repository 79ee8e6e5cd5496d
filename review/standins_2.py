"""Stand-ins of the platform for the scripts of the second review.

They need nothing but Python's standard library: the platform's store, servers of a
plain service, model servers, clients, and the router's processes, which are started
with the command and the settings template of the deploy file. Everything listens on
one random loopback address.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import re
import secrets
import shlex
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HEARTBEAT_MS = 1200
BOUNDS = {
    "drainMs": 2000,
    "graceS": 8,
    "configMs": 2000,
    "retryRatio": 0.2,
    "retryWindowS": 10,
    "retrySlack": 198,
    "contactMs": 3000,
    "reuseDelayS": 2,
}
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
HEALTH_PATH = "/healthz"
REASONS = {200: "OK", 202: "Accepted", 404: "Not Found", 409: "Conflict"}


class CannotRunError(Exception):
    """The case could not be set up; it says nothing about the rule."""


class Record:
    """Lines with the seconds since the start, for ``record.txt``."""

    def __init__(self) -> None:
        self._start = time.monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self._start

    def add(self, text: str) -> None:
        """Add a line."""
        self.lines.append(f"{self.now():9.3f}  {text}")

    def say(self, text: str) -> None:
        """Add a line, and print it."""
        self.add(text)
        print(self.lines[-1], flush=True)


@dataclass
class Request:
    """A request as read from a connection."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read a body with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()).strip():
                    pass
                return b"".join(parts)
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read a start line and headers, with names in lower case."""
    raw = await reader.readuntil(b"\r\n\r\n")
    first, *lines = raw.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


def response(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Encode a response with a length."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


class HttpServer:
    """Serves one request at a time on each connection."""

    def __init__(self) -> None:
        self._server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def listen(self, address: str) -> None:
        """Listen on an address."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(
            self._connection, host, int(port), limit=2**20, backlog=512
        )

    async def _connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                body = await read_body(reader, headers)
                await self.handle(Request(method, target, headers, body), writer)
                await writer.drain()
        except (OSError, EOFError, ValueError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            # The end of the case.
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Answer a request."""
        raise NotImplementedError

    def stop(self) -> None:
        """Stop listening, and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store:
    """The platform's store: rows with versions from one counter, and a feed."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.version = 0
        self.rows: dict[tuple[str, str, str], tuple[bytes, int]] = {}
        # Version of the last change of each row, whether it exists or not.
        self.changed: dict[tuple[str, str, str], int] = {}
        self.change = asyncio.Event()
        # Monotonic time of the last long poll for servers, by the node that called.
        self.polled: dict[str, float] = {}

    def put(self, table: str, key: str, value: bytes | None, part: str = "") -> int:
        """Write a row, or remove it if ``value`` is None; return the version."""
        return self._commit([((table, part, key), value)])

    def _commit(self, entries: list[tuple[tuple[str, str, str], bytes | None]]) -> int:
        self.version += 1
        for row, value in entries:
            if value is None:
                self.rows.pop(row, None)
            else:
                self.rows[row] = (value, self.version)
            self.changed[row] = self.version
        self.change.set()
        self.change = asyncio.Event()
        return self.version

    def _row(self, row: tuple[str, str, str]) -> dict[str, object]:
        table, part, key = row
        entry: dict[str, object] = {"table": table, "part": part, "key": key}
        if row not in self.rows:
            return {**entry, "ver": self.changed.get(row, 0), "deleted": True}
        value, version = self.rows[row]
        return {**entry, "value": base64.b64encode(value).decode(), "ver": version}

    def _answer(self, **fields: object) -> bytes:
        now_ms = int(time.monotonic() * 1000)
        body = {"ver": self.version, "nowMs": now_ms, **fields}
        return response(
            200, {"Content-Type": "application/json"}, json.dumps(body).encode()
        )

    async def handle(self, node: str, request: Request) -> bytes:
        """Answer a call of a node."""
        parts = urlsplit(request.target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        call = f"{request.method} {parts.path}"
        if call == "GET /api/rows-get":
            return self._get(query)
        if call == "GET /api/rows-feed":
            return await self._feed(node, query)
        if call == "POST /api/rows-tx":
            return self._transaction(json.loads(request.body))
        return response(404, {})

    def _get(self, query: dict[str, str]) -> bytes:
        first, end = query.get("from", ""), query.get("to")
        found = sorted(
            row
            for row in self.rows
            if row[0] == query["table"]
            and row[1] == query.get("part", "")
            and row[2] >= first
            and (end is None or row[2] < end)
        )
        page = found[: min(500, int(query.get("limit", "500")))]
        rows = [self._row(row) for row in page]
        return self._answer(rows=rows, hasMore=len(page) < len(found))

    async def _feed(self, node: str, query: dict[str, str]) -> bytes:
        table, after = query["table"], int(query["after"])
        wait_s = int(query.get("waitMs", "0")) / 1000
        if table == "servers" and wait_s > 0:
            self.polled[node] = time.monotonic()
        deadline = time.monotonic() + wait_s
        while True:
            found = sorted(
                (version, row)
                for row, version in self.changed.items()
                if row[0] == table and version > after
            )
            left_s = deadline - time.monotonic()
            if found or left_s <= 0:
                return self._answer(rows=[self._row(row) for _, row in found])
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.change.wait(), left_s)

    def _transaction(self, body: dict) -> bytes:
        def row_of(entry: dict) -> tuple[str, str, str]:
            return (entry["table"], entry.get("part", ""), entry["key"])

        entries = [
            (row_of(e), base64.b64decode(e["value"])) for e in body.get("put", [])
        ]
        entries += [(row_of(e), None) for e in body.get("remove", [])]
        if any(row[0] in ("op", "servers") for row, _ in entries):
            return response(403, {})
        conditions = [(row_of(e), e["ver"]) for e in body.get("precondition", [])]
        for row, version in conditions:
            current = self.rows[row][1] if row in self.rows else 0
            if current != version:
                rows = [self._row(r) for r, _ in conditions if r in self.rows]
                answer = self._answer(rows=rows)
                return answer.replace(b"200 OK", b"412 Conflict", 1)
        self._commit(entries)
        return self._answer()


class StorePath(HttpServer):
    """The way of one node to the store, which has an address of its own."""

    def __init__(self, store: Store, node: str) -> None:
        super().__init__()
        self._store = store
        self._node = node

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Pass a call to the store, and its response back."""
        answer = await self._store.handle(self._node, request)
        await asyncio.sleep(0.004)
        writer.write(answer)


@dataclass
class Arrival:
    """A request that reached a server, and when it was read there."""

    at_s: float
    server: str
    request_id: str
    node: str
    status: int = 0


class PlainServer(HttpServer):
    """A server of a plain service."""

    def __init__(
        self, name: str, service: str, zone: str, address: str, store: Store
    ) -> None:
        super().__init__()
        self.name = name
        self.address = address
        self._service = service
        self._zone = zone
        self._store = store
        self._record = store.record
        self._slots = asyncio.Semaphore(6)
        self.arrivals: list[Arrival] = []
        self._born = int(time.time() * 1000)

    async def start(self) -> None:
        """Listen, and write the entry."""
        await self.listen(self.address)
        self._store.put("servers", self.name, self._entry())

    def _entry(self) -> bytes:
        entry = {
            "service": self._service,
            "address": self.address,
            "zone": self._zone,
            "version": 1,
            "slots": 6,
            "state": "ready",
            "coldLeftMs": 0,
            "sequence": 0,
            "born": self._born,
        }
        return json.dumps(entry).encode()

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Run a request, or answer the health check."""
        headers = {"X-Hemlockhall-Instance-Id": self.name}
        if request.target == HEALTH_PATH:
            writer.write(response(200, headers))
            return
        expected = request.headers.get("x-hemlockhall-expect-instance", self.name)
        request_id = request.headers.get("x-hemlockhall-attempt-id")
        if request_id is None:
            writer.write(response(400, {**headers, "X-Hemlockhall-Not-Executed": "1"}))
            return
        headers["X-Hemlockhall-Attempt-Id"] = request_id
        if expected != self.name:
            writer.write(response(421, {**headers, "X-Hemlockhall-Not-Executed": "1"}))
            return
        node = request_id.split(".")[0]
        arrival = Arrival(self._record.now(), self.name, request_id, node)
        self.arrivals.append(arrival)
        self._record.add(f"server {self.name} runs {request_id}")
        async with self._slots:
            await asyncio.sleep(random.uniform(0.04, 0.14))
        arrival.status = 200
        headers["X-Hemlockhall-Server-Stamp"] = f"{self.name}.{secrets.token_hex(4)}"
        writer.write(response(200, headers, b"y" * 800))


class ModelServer(HttpServer):
    """A model server that holds layers as ordered, and serves along the path it gets.

    It crashes if it is ordered to hold more layers than its memory holds. ``others``
    are the model servers by address, itself among them.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        address: str,
        kind: str,
        max_layers: int,
        model_layers: int,
        store: Store,
        others: dict[str, ModelServer],
    ) -> None:
        super().__init__()
        self.name = name
        self.address = address
        self.kind = kind
        self.model_layers = model_layers
        self.max_layers = max_layers
        self.service = service
        self.running = True
        self.orders: list[tuple[float, int, int]] = []
        self._others = others
        self._zone = zone
        self._store = store
        self._record = store.record
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._layers = (0, 0)
        self._busy = False
        self._registered = False

    async def start(self, lag_s: float = 0.0) -> None:
        """Listen, and write the entry ``lag_s`` later."""
        await self.listen(self.address)
        if lag_s:
            await asyncio.sleep(lag_s)
        if self.running:
            self._registered = True
            self._write_entry()

    def _state(self) -> dict[str, object]:
        first, end = self._layers
        state: dict[str, object] = {
            "kind": self.kind,
            "sequence": self._sequence,
            "born": self._born,
            "stage": "both",
            "models": [],
        }
        if end > first:
            state["models"] = [{"name": self.service, "version": 1, "adapters": []}]
            state["layers"] = {"from": first, "to": end, "version": 1}
        return state

    def _write_entry(self) -> None:
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self._zone,
            "version": 1,
            "slots": 96,
            "state": "ready",
            "coldLeftMs": 0,
            **self._state(),
        }
        self._store.put("servers", self.name, json.dumps(entry).encode())

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Answer the calls of the model servers' control interface."""
        headers = {"X-Hemlockhall-Instance-Id": self.name}
        expected = request.headers.get("x-hemlockhall-expect-instance", self.name)
        if expected != self.name:
            writer.write(response(421, {**headers, "X-Hemlockhall-Not-Executed": "1"}))
        elif request.target == "/api/report":
            headers["Content-Type"] = "application/json"
            first, end = self._layers
            total = 50_000 * max(1, end - first)
            load = {"queued": 0, "active": 0, "kvUsed": 0, "kvTotal": total}
            body = {
                **self._state(),
                **load,
                "busy": self._busy,
                "handles": 0,
                "pace": 1,
            }
            writer.write(response(200, headers, json.dumps(body).encode()))
        elif request.target == "/api/order":
            writer.write(response(self._order(request), headers))
        else:
            await self._generate(request, headers, writer)

    async def _generate(
        self, request: Request, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        """Send twenty events, if all servers of the path hold their parts."""
        request_id = request.headers.get("x-hemlockhall-attempt-id", "")
        headers["X-Hemlockhall-Attempt-Id"] = request_id
        whole = f"{self.address}=0-{self.model_layers}"
        for part in request.headers.get("x-hemlockhall-hop-count", whole).split(","):
            address, _, layers = part.strip().partition("=")
            status = self._check_part(address, *map(int, layers.split("-")))
            if status:
                headers["At-Server"] = address
                headers["X-Hemlockhall-Not-Executed"] = "1"
                writer.write(response(status, headers))
                return
        self._record.add(f"server {self.name} runs {request_id}")
        headers["X-Hemlockhall-Server-Stamp"] = f"{self.name}.{secrets.token_hex(4)}"
        headers["Content-Type"] = "text/event-stream"
        lines = [f"{name}: {value}" for name, value in headers.items()]
        head = ["HTTP/1.1 200 OK", *lines, "Transfer-Encoding: chunked", "", ""]
        writer.write("\r\n".join(head).encode())
        for number in range(1, 21):
            await asyncio.sleep(0.1)
            event = f"id: {number}\ndata: piece\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    def _check_part(self, address: str, first: int, end: int) -> int:
        """Return 0 if a server holds these layers of this model, or else a status."""
        server = self._others.get(address)
        if server is None or not server.running:
            return 503
        held = server._layers  # noqa: SLF001
        if server.service != self.service or not held[0] <= first <= end <= held[1]:
            return 421
        return 0

    def _order(self, request: Request) -> int:
        order = json.loads(request.body)
        if order.get("operation") != "place":
            return 400
        first, end = order["from"], order["to"]
        said = (
            f"server {self.name} ({self.service}, {self.kind}) is ordered {first}-{end}"
        )
        if order.get("precondition", self._sequence) != self._sequence or self._busy:
            self._record.add(f"{said}: 409")
            return 409
        if (first, end) == self._layers:
            return 200
        self.orders.append((self._record.now(), first, end))
        self._record.add(f"{said}: 202, its memory holds {self.max_layers}")
        self._sequence += 1
        if end - first > self.max_layers:
            self._record.say(f"server {self.name} crashes: more layers than it holds")
            asyncio.get_running_loop().call_later(0.05, self.crash)
            return 202
        self._busy = True
        load_s = 0.2 + 0.01 * (end - first)
        asyncio.get_running_loop().call_later(load_s, self._loaded, first, end)
        return 202

    def _loaded(self, first: int, end: int) -> None:
        self._busy = False
        self._layers = (first, end)
        if self.running and self._registered:
            self._write_entry()

    def crash(self) -> None:
        """End with all connections; the entry stays."""
        self.running = False
        self.stop()


@dataclass
class Outcome:
    """What a client got for a request: a status, or 0 if the connection ended."""

    request_id: str
    node: str
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    stamp: str = ""


@dataclass
class Client:
    """Sends requests to one router, each on a new connection."""

    record: Record
    node: str
    address: str
    outcomes: list[Outcome] = field(default_factory=list)

    # Headers of each request, as lines.
    headers: str = ""

    async def send(self, method: str, path: str, deadline_ms: int = 4000) -> Outcome:
        """Send a request, and return what came of it."""
        request_id = f"{self.node}.{secrets.token_hex(6)}"
        outcome = Outcome(request_id, self.node, self.record.now())
        self.outcomes.append(outcome)
        with contextlib.suppress(OSError, EOFError, ValueError, TimeoutError):
            async with asyncio.timeout(deadline_ms / 1000 + 1):
                await self._send(outcome, method, path, deadline_ms)
        outcome.ended_s = self.record.now()
        self.record.add(
            f"client of {self.node}: {method} {path} {request_id} gets "
            f"{outcome.status or 'no answer'} {outcome.stamp}"
        )
        return outcome

    async def _send(
        self, outcome: Outcome, method: str, path: str, deadline_ms: int
    ) -> None:
        host, _, port = self.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
                f"X-Hemlockhall-Attempt-Id: {outcome.request_id}\r\n"
                f"X-Hemlockhall-Deadline-Ms: {deadline_ms}\r\n"
                f"X-Api-Key: {KEY}\r\n{self.headers}Content-Length: 0\r\n\r\n".encode()
            )
            first, headers = await read_head(reader)
            await read_body(reader, headers)
            outcome.status = int(first.split(" ")[1])
            outcome.stamp = headers.get("x-hemlockhall-server-stamp", "")
        finally:
            writer.close()


class Router:
    """A process of the router, started as the deploy file says."""

    def __init__(self, name: str, zone: str, folder: Path) -> None:
        self.name = name
        self.zone = zone
        self.front = self.ready = self.control = self.store = ""
        self.seeds: list[str] = []
        self.process: subprocess.Popen[bytes] | None = None
        self._folder = folder / name
        self._folder.mkdir()

    def _settings(self) -> str:
        fields = {
            "node": self.name,
            "zone": self.zone,
            "seeds": self.seeds,
            "heartbeatMs": HEARTBEAT_MS,
            "limits": {"cpuShare": 0.817, "cores": 1, "linkMbps": 1000.0},
            "listen": {
                "front": self.front,
                "ready": self.ready,
                "control": self.control,
            },
            "provider": {"address": self.store},
            "bounds": BOUNDS,
        }

        def fill(match: re.Match[str]) -> str:
            value: object = fields
            for name in match[1].split("."):
                value = value[name]  # type: ignore[index]
            return json.dumps(value) if match[2] else str(value)

        template = (ROOT / _role()["template"]).read_text()
        return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", fill, template)

    def start(self) -> None:
        """Start the process."""
        settings = self._folder / "boot.toml"
        settings.write_text(self._settings())
        command = shlex.split(_role()["run"])
        command = [str(settings) if "/boot.toml" in c else c for c in command]
        env = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self._folder),
            "LANG": "C.UTF-8",
            "HEMLOCKHALL_BOOT": str(settings),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (self._folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def log(self) -> str:
        """Return what the process wrote so far."""
        return (self._folder / "log").read_text(errors="replace")

    def kill(self) -> None:
        """Kill the process, and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    async def is_ready(self) -> bool:
        """Return whether its readiness check says 200."""
        host, _, port = self.ready.rpartition(":")
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(
                    f"GET /api/readyz HTTP/1.1\r\nHost: {host}\r\n\r\n".encode()
                )
                first, _ = await read_head(reader)
                writer.close()
        except (OSError, EOFError, TimeoutError):
            return False
        return first.split(" ")[1] == "200"


def _role() -> dict:
    return tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["router"]


class Deployment:
    """A store, servers and routers; everything ends with ``stop``."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.store = Store(record)
        self.routers: list[Router] = []
        self.servers: dict[str, HttpServer] = {}
        self.model_servers: dict[str, ModelServer] = {}
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._paths: list[StorePath] = []
        numbers = [str(1 + secrets.randbelow(254)) for _ in range(3)]
        self._host = ".".join(["127", *numbers])
        self._used: set[int] = set()

    def new_address(self) -> str:
        """Return a free address that was not handed out before."""
        while True:
            with socket.socket() as sock:
                sock.bind((self._host, 0))
                port = sock.getsockname()[1]
            if port not in self._used:
                self._used.add(port)
                return f"{self._host}:{port}"

    async def start_routers(self, zones: list[str]) -> None:
        """Start a router in each of these zones, and wait until all are ready."""
        if not (ROOT / "target/deps").is_dir():
            raise CannotRunError("target/deps is missing: run deploy/build first")
        counts: dict[str, int] = {}
        for zone in zones:
            counts[zone] = counts.get(zone, 0) + 1
            router = Router(f"front-{zone}-{counts[zone]}", zone, self.folder)
            router.front, router.ready = self.new_address(), self.new_address()
            router.control, router.store = self.new_address(), self.new_address()
            path = StorePath(self.store, router.name)
            await path.listen(router.store)
            self._paths.append(path)
            self.routers.append(router)
        seeds = [router.control for router in self.routers[:3]]
        for router in self.routers:
            router.seeds = seeds
            router.start()
        deadline = time.monotonic() + 30
        for router in self.routers:
            while not await router.is_ready():
                if time.monotonic() > deadline:
                    raise CannotRunError(f"{router.name} does not become ready")
                await asyncio.sleep(0.1)

    def stop(self) -> None:
        """End all processes, and remove their files."""
        for router in self.routers:
            router.kill()
        for server in [*self.servers.values(), *self._paths]:
            server.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


def limits() -> dict[str, int]:
    """Return the limits of clients' requests."""
    return {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }


def tenants() -> list[dict]:
    """Return the one tenant."""
    return [{"name": TENANT, "apiKeys": [KEY], "priority": 1}]


def trouble() -> bool:
    """Return whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"
