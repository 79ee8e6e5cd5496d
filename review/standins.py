"""Stand-ins of the platform, its servers and clients, for the scripts of the review.

They speak what ``PROTOCOL.md`` says, with the standard library alone. A script runs
them in its own process; the routers are processes started as the deploy file says.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import secrets
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
TX_S = 0.005
STEADY_S = 0.004
# What DEPLOY.md and the sheet of kanonaki-hemlock state.
BOUNDS = {
    "retryRatio": 0.2,
    "retrySlack": 198,
    "retryWindowS": 10,
    "graceS": 8,
    "configMs": 2000,
    "drainMs": 2000,
}
HEARTBEAT_MS = 1200

Headers = dict[str, str]


class Record:
    """A file with what was sent, answered and run, with times."""

    def __init__(self, folder: Path, name: str = "record.txt") -> None:
        self._began = time.monotonic()
        self._file = (folder / name).open("w")

    def now(self) -> float:
        """Return the seconds since the script began."""
        return time.monotonic() - self._began

    def write(self, text: str) -> None:
        """Add a line."""
        self._file.write(f"{self.now():8.3f}  {text}\n")
        self._file.flush()


def loopback_host() -> str:
    """Return a random loopback address, on which ports are likely to be free."""
    return "127." + ".".join(str(1 + secrets.randbelow(253)) for _ in range(3))


def free_port(host: str) -> int:
    """Return a free port of a loopback address."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class Message:
    """The head and the body of a request or response."""

    def __init__(self, first: str, headers: list[tuple[str, str]], body: bytes) -> None:
        self.first = first
        self.pairs = headers
        self.headers = {name.lower(): value for name, value in headers}
        self.body = body

    @property
    def target(self) -> str:
        """The target of a request."""
        return self.first.split(" ")[1]

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.first.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the head of the next message, None if the connection ended before it."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    pairs = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            pairs.append((name.strip(), value.strip()))
    return Message(lines[0], pairs, b"")


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Return the next chunk of a body, empty at its end."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message with its body, None if it does not come whole."""
    message = await read_head(reader)
    if message is None:
        return None
    parts = []
    try:
        if "chunked" in message.headers.get("transfer-encoding", ""):
            while chunk := await read_chunk(reader):
                parts.append(chunk)
        else:
            length = int(message.headers.get("content-length", "0"))
            parts.append(await reader.readexactly(length))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    message.body = b"".join(parts)
    return message


def encode_response(status: int, headers: Headers, body: bytes = b"") -> bytes:
    """Return a response with a length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


Handler = Callable[[Message, asyncio.StreamReader, asyncio.StreamWriter], Awaitable]


class HttpServer:
    """Serves one request at a time on each connection."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, host: str, port: int) -> None:
        """Listen on an address."""
        self._server = await asyncio.start_server(self._serve, host, port)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                if await self._handler(message, reader, writer) is False:
                    break
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def stop(self) -> None:
        """Stop listening and reset the connections, as a process that crashed."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


class Store:
    """The platform's metadata store: rows, their feed and transactions."""

    def __init__(self) -> None:
        self.ver = 0
        self.rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        self._history: list[tuple[str, str, bytes | None, int]] = []
        self._changed = asyncio.Condition()
        self._http = HttpServer(self._handle)
        self.address = ""

    async def start(self, host: str) -> None:
        """Listen on a free port."""
        port = free_port(host)
        await self._http.listen(host, port)
        self.address = f"{host}:{port}"

    async def put(self, table: str, key: str, value: bytes) -> int:
        """Write a row, as the operator or a server; return its version."""
        self.ver += 1
        self.rows[table, key] = (value, self.ver)
        self._history.append((table, key, value, self.ver))
        async with self._changed:
            self._changed.notify_all()
        return self.ver

    async def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        if (table, key) not in self.rows:
            return
        self.ver += 1
        del self.rows[table, key]
        self._history.append((table, key, None, self.ver))
        async with self._changed:
            self._changed.notify_all()

    def stop(self) -> None:
        """Stop."""
        self._http.stop()

    async def _handle(
        self, message: Message, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        parts = urlsplit(message.target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        status, answer = 404, {}
        if parts.path == "/api/rows-get":
            await asyncio.sleep(STEADY_S)
            status, answer = 200, self._get(query)
        elif parts.path == "/api/rows-feed":
            await asyncio.sleep(STEADY_S)
            status, answer = 200, await self._feed(query)
        elif parts.path == "/api/rows-tx":
            await asyncio.sleep(TX_S)
            status, answer = await self._transact(json.loads(message.body))
        answer["nowMs"] = time.monotonic() * 1000
        headers = {"Content-Type": "application/json"}
        writer.write(encode_response(status, headers, json.dumps(answer).encode()))
        return True

    def _get(self, query: dict[str, str]) -> dict[str, Any]:
        rows = []
        for (table, key), (value, ver) in sorted(self.rows.items()):
            if table == query["table"] and key >= query.get("from", ""):
                rows.append(_row(table, key, value, ver))
        return {"rows": rows[:500], "hasMore": len(rows) > 500, "ver": self.ver}

    async def _feed(self, query: dict[str, str]) -> dict[str, Any]:
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            latest: dict[str, dict[str, Any]] = {}
            for name, key, value, ver in self._history:
                if name == table and ver > after:
                    latest.pop(key, None)
                    latest[key] = _row(table, key, value, ver)
            left = until - time.monotonic()
            if latest or left <= 0:
                return {"rows": list(latest.values()), "ver": self.ver}
            async with self._changed:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), left)

    async def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for row in body.get("put", []) + body.get("remove", []):
            if row["table"] in ("op", "servers"):
                return 403, {"ver": self.ver}
        current = []
        fits = True
        for row in body.get("precondition", []):
            value, ver = self.rows.get((row["table"], row["key"]), (b"", 0))
            fits = fits and ver == row["ver"]
            if ver:
                current.append(_row(row["table"], row["key"], value, ver))
        if not fits:
            return 412, {"rows": current, "ver": self.ver}
        for row in body.get("put", []):
            await self.put(row["table"], row["key"], base64.b64decode(row["value"]))
        return 200, {"ver": self.ver}


def _row(table: str, key: str, value: bytes | None, ver: int) -> dict[str, Any]:
    row: dict[str, Any] = {"table": table, "part": "", "key": key, "ver": ver}
    if value is None:
        return {**row, "deleted": True}
    return {**row, "value": base64.b64encode(value).decode()}


def entry(address: str, service: str, **fields: Any) -> bytes:
    """Return a server's entry in the store."""
    base = {
        "service": service,
        "address": address,
        "zone": "attica-a",
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "coldLeftMs": 0,
        "sequence": 0,
        "born": time.time_ns() // 1_000_000,
    }
    return json.dumps({**base, **fields}).encode()


class Router:
    """A router process, started with the command of the deploy file."""

    def __init__(self, name: str, zone: str, store: str, seeds: list[str]) -> None:
        host = loopback_host()
        ports = [free_port(host) for _ in range(3)]
        self.name = name
        self.listen = {
            "front": f"{host}:{ports[0]}",
            "ready": f"{host}:{ports[1]}",
            "control": f"{host}:{ports[2]}",
        }
        self.front = (host, ports[0])
        self.ready = (host, ports[1])
        self._zone = zone
        self._store = store
        self._seeds = seeds
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._log = (self._folder / "log").open("ab")
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Write the settings and start the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        settings = self._folder / "boot.toml"
        settings.write_text(self._settings())
        command = shlex.split(deploy["roles"]["router"]["run"])
        command[command.index("/etc/hemlockhall/boot.toml")] = str(settings)
        command[0] = sys.executable
        env = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self._folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "HEMLOCKHALL_BOOT": str(settings),
        }
        self.process = subprocess.Popen(
            command, cwd=ROOT, env=env, stdout=self._log, stderr=subprocess.STDOUT
        )

    def _settings(self) -> str:
        seeds = json.dumps(self._seeds)
        return (
            f'seeds = {seeds}\n[host]\nname = "{self.name}"\n'
            f'data_centre = "{self._zone}"\ndialect = "platform"\n'
            'dialect_module = "hemlockhall_platform.dialect"\ncores = 1\n'
            "cpu_share = 0.817\nlink_mbps = 1000.0\n[listen]\n"
            f'callers = "{self.listen["front"]}"\nready = "{self.listen["ready"]}"\n'
            f'hosts = "{self.listen["control"]}"\n'
            f'[store]\naddress = "{self._store}"\n'
            f"[retry]\nratio = {BOUNDS['retryRatio']}\n"
            f"constant = {BOUNDS['retrySlack']}\nwindow_s = {BOUNDS['retryWindowS']}\n"
            f"[leave]\ngrace_s = {BOUNDS['graceS']}\n"
            f"[bounds]\nconfig_ms = {BOUNDS['configMs']}\n"
            f"drain_ms = {BOUNDS['drainMs']}\nheartbeat_ms = {HEARTBEAT_MS}\n"
        )

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def log(self) -> str:
        """Return what the process wrote."""
        return (self._folder / "log").read_text(errors="replace")

    def stop(self) -> None:
        """Kill the process and remove its folder."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()
        self._log.close()
        for path in self._folder.iterdir():
            path.unlink()
        self._folder.rmdir()

    async def is_ready(self) -> bool:
        """Return whether ``GET /api/readyz`` answers 200 within a second."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*self.ready)
                writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
                message = await read_message(reader)
                writer.close()
        except (OSError, TimeoutError):
            return False
        return message is not None and message.status == 200


async def wait_ready(routers: list[Router], limit_s: float = 20.0) -> bool:
    """Wait until all routers are ready; return whether they are."""
    until = time.monotonic() + limit_s
    while time.monotonic() < until:
        if all([await router.is_ready() for router in routers]):
            return True
        await asyncio.sleep(0.2)
    return False


def new_id() -> str:
    """Return the id of a client attempt."""
    return f"{random.getrandbits(64):016x}"


def encode_request(
    method: str, target: str, host: str, headers: Headers, body: bytes = b""
) -> bytes:
    """Return a client's request."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def run_script(main: Callable[[], Awaitable[int]], limit_s: float = 110.0) -> None:
    """Run a script; exit with its result, or with 2 if it could not run."""

    async def bounded() -> int:
        # A script that is told to end still ends the processes that it started.
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(limit_s):
            return await main()

    try:
        code = asyncio.run(bounded())
    except (Exception, asyncio.CancelledError) as exc:  # noqa: BLE001
        print(f"could not run: {exc!r}", file=sys.stderr)
        code = 2
    sys.exit(code)
