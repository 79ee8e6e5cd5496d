"""Stand-in of a model server, as ``PROTOCOL.md`` describes it."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

from standins import HttpServer, Message, Record, Store, encode_response

# The sheet of kanonaki-hemlock; memory in MB of one layer and of each kind of card.
LAYER_MB = 1750.0
# Memory of one token in one layer: ``kvBytes`` of the sheet for its 80 layers.
KV_BYTES = 14_750
CARDS = {"h100": 72_000.0, "t4": 14_400.0}
# Loading all layers takes ``loadS``; before the first request a tenth of it.
LOAD_ALL_S = 1.4
# Time from the start of a server to its entry in the store: ``lag_ms`` of the site.
ENTRY_LAG_S = 0.8


def engine(layers: int, step_ms: float = 0.85) -> dict[str, Any]:
    """Return the ``engine`` of a service."""
    kinds = [
        {"name": "h100", "mb": CARDS["h100"], "pace": 1.4, "readFactor": 1.0},
        {"name": "t4", "mb": CARDS["t4"], "pace": 15.0, "readFactor": 15.0},
    ]
    return {
        "slots": 96,
        "kvTokens": 50_000,
        "kvBytes": KV_BYTES * layers,
        "linkMbps": 480_000.0,
        "stride": 2,
        "models": [{"name": "m", "pace": 1.0, "loadS": 14.0, "warmupS": 1.0}],
        "step_ms": step_ms,
        "per_seq_ms": 0.00764,
        "context_per_k": 0.01024,
        "read_per_s": 196_000.0,
        "pairs_per_m": 0.166,
        "chunk": 512,
        "report_lag_ms": 200.0,
        "loadsPerS": 0.0,
        "loads_at_once": 6,
        "usual": {"prompt": 772, "answer": 167},
        "layers": layers,
        "layerMb": LAYER_MB,
        "activationBytes": 59_000,
        "pipeMbps": 13_000.0,
        "kinds": kinds,
    }


class ModelServer:
    """One incarnation of a model server.

    A stream has ``events`` events with pauses of ``pause_s``. ``overloads`` lists the
    orders to hold more layers than its memory holds; it crashes at the first, as the
    pages say.
    """

    def __init__(
        self,
        name: str,
        service: str,
        kind: str,
        store: Store,
        record: Record,
        events: int = 10,
        pause_s: float = 0.02,
    ) -> None:
        self.events, self.pause_s = events, pause_s
        # Attempts that it ran, and how each ended.
        self.runs: dict[str, str] = {}
        self.name, self.service, self.kind = name, service, kind
        self.born = time.time_ns() // 1_000_000
        self.address = ""
        self.overloads: list[str] = []
        self._store, self._record = store, record
        self._layers: tuple[int, int] | None = None
        self._sequence = 0
        self._busy = False
        self._active = 0
        self._http = HttpServer(self._handle)
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, host: str, port: int, lag_s: float = ENTRY_LAG_S) -> None:
        """Listen, and be in the store after ``lag_s``."""
        self.address = f"{host}:{port}"
        await self._http.listen(host, port)
        self._record.write(
            f"server {self.name} ({self.service}, {self.kind}) listens on "
            f"{self.address}"
        )
        self._spawn(self._register(lag_s))

    async def _register(self, lag_s: float) -> None:
        await asyncio.sleep(lag_s)
        await self._write_entry()
        self._record.write(f"server {self.name} is in the store")

    def crash(self) -> None:
        """End; the entry stays until the store removes it."""
        self._record.write(f"server {self.name} crashes")
        for task in self._tasks:
            task.cancel()
        self._http.stop()

    def _state(self) -> dict[str, Any]:
        state: dict[str, Any] = {
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "sequence": self._sequence,
            "born": self.born,
            "kind": self.kind,
        }
        if self._layers is not None:
            first, end = self._layers
            state["layers"] = {"from": first, "to": end, "version": 1}
        return state

    async def _write_entry(self) -> None:
        row = {
            "service": self.service,
            "address": self.address,
            "zone": "z-a",
            "version": "v1",
            "slots": 96,
            "state": "ready",
            "coldLeftMs": 0,
            **self._state(),
        }
        await self._store.put("servers", self.name, json.dumps(row).encode())

    async def _handle(
        self,
        message: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if message.target == "/api/report":
            held = self._layers[1] - self._layers[0] if self._layers else 0
            left_mb = CARDS[self.kind] - held * LAYER_MB
            report = {
                **self._state(),
                "busy": self._busy,
                "queued": 0,
                "active": self._active,
                "kvUsed": 0,
                "kvTotal": int(left_mb * 1e6 / KV_BYTES),
                "handles": 0,
                "pace": 1.0,
            }
            writer.write(self._json(200, report))
            return True
        expected = message.headers.get("x-hemlockhall-expect-instance")
        if expected not in (None, self.name):
            writer.write(encode_response(421, {"X-Hemlockhall-Instance-Id": self.name}))
            return True
        if message.target == "/api/order":
            return await self._order(message, writer)
        return await self._generate(message, writer)

    def _json(self, status: int, body: dict[str, Any]) -> bytes:
        headers = {"Content-Type": "application/json"}
        return encode_response(status, headers, json.dumps(body).encode())

    async def _order(self, message: Message, writer: asyncio.StreamWriter) -> bool:
        order = json.loads(message.body)
        first, end = order["from"], order["to"]
        need = (end - first) * LAYER_MB
        expects = message.headers.get("x-hemlockhall-expect-instance")
        self._record.write(
            f"server {self.name} ({self.kind}, {CARDS[self.kind]:.0f} MB) is ordered "
            f"to hold layers {first}-{end}, {need:.0f} MB; "
            f"precondition {order.get('precondition')}, for instance {expects}"
        )
        if order.get("precondition", self._sequence) != self._sequence or self._busy:
            writer.write(self._json(409, {}))
            return True
        if self._layers == (first, end):
            writer.write(self._json(200, {}))
            return True
        if need > CARDS[self.kind]:
            self.overloads.append(f"{first}-{end}")
            self.crash()
            return False
        self._sequence += 1
        self._busy = True
        self._spawn(self._load(first, end))
        writer.write(self._json(202, {}))
        return True

    async def _load(self, first: int, end: int) -> None:
        await asyncio.sleep(LOAD_ALL_S * (end - first) / 80)
        self._layers = (first, end)
        self._busy = False
        await self._write_entry()

    async def _generate(self, message: Message, writer: asyncio.StreamWriter) -> bool:
        attempt = message.headers["x-hemlockhall-attempt-id"]
        base = {
            "X-Hemlockhall-Attempt-Id": attempt,
            "X-Hemlockhall-Weight-Versions": "1",
        }
        path = message.headers.get("x-hemlockhall-hop-count", "").split(",")[0]
        first, _, end = path.partition("=")[2].partition("-")
        held = self._layers
        if held is None or int(first) < held[0] or int(end) > held[1]:
            writer.write(encode_response(421, {**base, "At-Server": self.address}))
            return True
        base["X-Hemlockhall-Server-Stamp"] = f"{self.name}.1"
        lines = [f"{name}: {value}" for name, value in base.items()]
        lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        writer.write("\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""]).encode())
        self._active += 1
        self._record.write(f"server {self.name} runs {attempt}")
        self.runs[attempt] = "cut off"
        try:
            last = int(message.headers.get("last-event-id", "0"))
            for number in range(last + 1, self.events + 1):
                await asyncio.sleep(self.pause_s)
                if writer.is_closing():
                    raise ConnectionResetError
                event = f"id: {number}\ndata: w{number}\n\n".encode()
                writer.write(b"%x\r\n%b\r\n" % (len(event), event))
                await writer.drain()
        finally:
            self._active -= 1
        writer.write(b"0\r\n\r\n")
        self.runs[attempt] = "whole"
        return True

    def _spawn(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
