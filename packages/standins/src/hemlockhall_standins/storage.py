"""Simulated object store, weight store and host list of the platform."""

from __future__ import annotations

import time
from dataclasses import dataclass

import anyio

from hemlockhall_standins.web import App, Faults, Request, Response


def objects_app() -> App:
    """Return an in-memory object store."""
    app = App()
    stored: dict[str, bytes] = {}

    @app.route("PUT", "/objects/(.+)")
    async def _put(req: Request) -> Response:
        stored[req.groups[0]] = req.body
        return Response({})

    @app.route("GET", "/objects/(.+)")
    async def _get(req: Request) -> Response:
        if req.groups[0] not in stored:
            return Response({"error": "no object"}, 404)
        return Response(stored[req.groups[0]])

    return app


@dataclass
class WeightFaults(Faults):
    """Rate of the weight store in bytes per second, shared by all readers."""

    bytes_per_s: float = 1e9


def weights_app() -> App:
    """Return a weight store that delays each response by its transfer time."""
    faults = WeightFaults()
    app = App(faults)
    free_at = time.monotonic()

    @app.route("GET", "/weights/(.+)/layers/([0-9]+)")
    async def _get(req: Request) -> Response:
        nonlocal free_at
        size = float(req.query.get("bytes", "1e6"))
        free_at = max(free_at, time.monotonic()) + size / faults.bytes_per_s
        await anyio.sleep(max(0.0, free_at - time.monotonic()))
        return Response({"model": req.groups[0], "layer": int(req.groups[1])})

    return app


@dataclass
class HostFaults(Faults):
    """Seconds after which the list shows a change."""

    lag_s: float = 2.0


def hosts_app() -> App:
    """Return a host list that shows each change after ``lag_s``."""
    faults = HostFaults()
    app = App(faults)
    changes: list[tuple[float, str, str]] = []

    @app.route("PUT", "/hosts/(.+)")
    async def _put(req: Request) -> Response:
        changes.append((time.monotonic(), req.groups[0], req.json()["state"]))
        return Response({})

    @app.route("GET", "/hosts")
    async def _get(req: Request) -> Response:
        visible: dict[str, str] = {}
        for at, name, state in changes:
            if time.monotonic() - at < faults.lag_s:
                continue
            visible[name] = state
        return Response([{"endpoint": n, "state": s} for n, s in visible.items()])

    return app


__all__ = [
    "hosts_app",
    "objects_app",
    "weights_app",
]
