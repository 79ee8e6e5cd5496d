"""Entries of another writer in ``servers`` end all routers, again and again."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    HttpServer,
    Message,
    Record,
    Router,
    Store,
    encode_request,
    encode_response,
    entry,
    free_port,
    loopback_host,
    new_id,
    read_message,
    run_script,
    wait_ready,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WORK_S = 0.09
CLIENTS_PER_ROUTER = 10
CALM_S = 4.0
# How long an entry stays.
ENTRY_S = 8.0
# Delay after which the platform starts an ended process again.
RESTART_S = 0.5
# LOST: more than three times at one machine.
ALLOWED = 3
# Lists in lists; the whole row is far below ``rowBytes``.
DEPTH = 1500
ROW_KEY = "another-writer"


class Client:
    """Sends one request after the other on a kept connection."""

    def __init__(self, router: Router, ran: dict[str, str], record: Record) -> None:
        self.router = router
        self.answered = 0
        self.unread = 0
        self.lost: list[str] = []
        self._ran, self._record = ran, record

    async def run(self) -> None:
        """Send until cancelled."""
        while True:
            try:
                reader, writer = await asyncio.open_connection(*self.router.front)
            except OSError:
                self.unread += 1
                await asyncio.sleep(0.2)
                continue
            try:
                while await self._send(reader, writer):
                    continue
            finally:
                writer.close()

    async def _send(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        attempt = new_id()
        headers = {
            "X-Hemlockhall-Attempt-Id": attempt,
            "X-Hemlockhall-Deadline-Ms": "4000",
            "X-Api-Key": "n2ctnfzs989anu6wsjnb",
        }
        host = "ficu95.example"
        writer.write(encode_request("POST", "/puxa403/2f", host, headers, b"x" * 600))
        message = await read_message(reader)
        if message is not None:
            self.answered += 1
            self._record.write(
                f"{self.router.name} answers {attempt}: {message.status}"
            )
            return message.headers.get("connection") != "close"
        server = self._ran.get(attempt)
        if server is None:
            self.unread += 1
            return False
        self.lost.append(attempt)
        self._record.write(
            f"{self.router.name} closes the connection without an answer to {attempt}, "
            f"which {server} has run"
        )
        return False


class Platform:
    """Starts the routers, and each again after it ended."""

    def __init__(self, routers: list[Router], record: Record) -> None:
        self._routers, self._record = routers, record
        self.ends = dict.fromkeys([router.name for router in routers], 0)

    async def run(self, router: Router) -> None:
        """Keep a router running until cancelled."""
        while True:
            await asyncio.sleep(0.02)
            if router.running:
                continue
            assert router.process is not None
            self.ends[router.name] += 1
            code = router.process.returncode
            self._record.write(f"{router.name} ends by itself, exit code {code}")
            await asyncio.sleep(RESTART_S)
            router.start()
            self._record.write(f"{router.name} is started again")


def configuration() -> bytes:
    """Return the configuration: one route of bookings."""
    route = {
        "name": "r-book",
        "host": "ficu95.example",
        "prefix": "/puxa403/",
        "kind": "non_idempotent",
        "timeoutMs": 2000,
        "latencyGoalMs": 400,
        "priority": 2,
        "service": "listings-app",
        "maxAttempts": 1,
        "public": False,
    }
    tenant = {"name": "hule930", "apiKeys": ["n2ctnfzs989anu6wsjnb"], "priority": 1}
    body = {
        "version": 7,
        "routes": [route],
        "services": [
            {"name": "listings-app", "healthPath": "/healthz", "maxConns": 100}
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [tenant],
    }
    return json.dumps(body).encode()


def foreign_entries() -> dict[str, bytes]:
    """Return entries that name no server to use."""
    nested = b"[" * DEPTH + b"]" * DEPTH
    return {
        # ``version`` is lists in lists instead of a text, other fields are missing.
        "a field of another type": b'{"service":"listings-app","version":%b}' % nested,
        # The port cannot be read: its last character is a superscript two.
        "an address that can't be read": entry("127.0.0.1:808\u00b2", "listings-app"),
    }


async def main() -> int:
    """Return 1 if the rule was broken, 0 if it held."""
    record = Record(FOLDER, "record.txt")
    host = loopback_host()
    store = Store()
    await store.start(host)
    await store.put("op", "config", configuration())
    ran: dict[str, str] = {}
    for number in range(3):
        await start_server(f"i-{number}", host, store, ran, record)
    routers: list[Router] = []
    tasks: list[asyncio.Task[None]] = []
    phases: list[tuple[str, str, int]] = []
    try:
        for number, zone in enumerate(("attica-a", "attica-b", "attica-c"), start=1):
            seeds = [router.listen["control"] for router in routers]
            routers.append(Router(f"front-{number}", zone, store.address, seeds))
            routers[-1].start()
        if not await wait_ready(routers):
            return 2
        record.write("all routers are ready")
        platform = Platform(routers, record)
        clients = [
            Client(router, ran, record)
            for router in routers
            for _ in range(CLIENTS_PER_ROUTER)
        ]
        tasks = [asyncio.create_task(platform.run(router)) for router in routers]
        tasks += [asyncio.create_task(client.run()) for client in clients]
        await asyncio.sleep(CALM_S)
        for what, value in foreign_entries().items():
            lost = count_lost(clients)
            if TROUBLE:
                await store.put("servers", ROW_KEY, value)
                record.write(f"another writer puts {len(value)} bytes: {what}")
            await asyncio.sleep(ENTRY_S)
            for name, count in count_lost(clients).items():
                phases.append((what, name, count - lost[name]))
            await store.remove("servers", ROW_KEY)
            record.write("the entry is removed")
            if not await wait_ready(routers):
                return 2
            await asyncio.sleep(CALM_S)
    finally:
        for task in tasks:
            task.cancel()
        for router in routers:
            router.stop()
        store.stop()
    return judge(clients, platform, phases, record)


async def start_server(
    name: str, host: str, store: Store, ran: dict[str, str], record: Record
) -> None:
    """Start a sound server of the booking service."""

    async def handle(
        message: Message, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        attempt = message.headers.get("x-hemlockhall-attempt-id", "")
        expected = message.headers.get("x-hemlockhall-expect-instance", name)
        if expected != name or not attempt:
            writer.write(encode_response(421, {"X-Hemlockhall-Instance-Id": name}))
            return True
        ran[attempt] = name
        record.write(f"{name} runs {attempt}")
        await asyncio.sleep(WORK_S)
        headers = {
            "X-Hemlockhall-Attempt-Id": attempt,
            "X-Hemlockhall-Server-Stamp": f"{name}.1",
        }
        writer.write(encode_response(200, headers, b"y" * 800))
        return True

    port = free_port(host)
    await HttpServer(handle).listen(host, port)
    await store.put("servers", name, entry(f"{host}:{port}", "listings-app"))


def count_lost(clients: list[Client]) -> dict[str, int]:
    """Return the requests that were run and closed without an answer, by router."""
    found: dict[str, int] = {}
    for client in clients:
        name = client.router.name
        found[name] = found.get(name, 0) + len(client.lost)
    return found


def judge(
    clients: list[Client],
    platform: Platform,
    phases: list[tuple[str, str, int]],
    record: Record,
) -> int:
    """Write the result; return the exit code."""
    lines = []
    for what, name, lost in phases:
        if TROUBLE:
            lines.append(f"{what}: {name} closed {lost} connections without an answer")
    lost = count_lost(clients)
    for name, ends in platform.ends.items():
        own = [client for client in clients if client.router.name == name]
        answered = sum(client.answered for client in own)
        unread = sum(client.unread for client in own)
        lines.append(
            f"{name}: {answered} answered, {lost[name]} run and closed without an "
            f"answer, {unread} not read; ended by itself {ends} times"
        )
    broken = any(count > ALLOWED for _, _, count in phases)
    lines.append("LOST is broken" if broken else "LOST holds")
    for line in lines:
        record.write(line)
        print(line)
    return 1 if broken else 0


if __name__ == "__main__":
    run_script(main)
