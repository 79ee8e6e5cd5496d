"""Simulated plain service with calls that are not idempotent."""

from __future__ import annotations

from dataclasses import dataclass, field

from hemlockhall_standins.web import App, Faults, Request, Response


@dataclass
class Booking:
    """A booking that took effect; ``what`` is the request body."""

    number: int
    what: object


@dataclass
class Service:
    """Records bookings in order, for tests to read at ``/tally``."""

    name: str
    bookings: list[Booking] = field(default_factory=list)
    reads: int = 0

    def app(self) -> App:
        """Return the HTTP interface."""
        app = App(Faults())
        app.route("POST", "/bookings")(self._book)
        app.route("GET", "/calendar")(self._calendar)
        app.route("GET", "/venues/(.*)")(self._venue)
        app.route("GET", "/tally")(self._tally)
        return app

    async def _book(self, req: Request) -> Response:
        booking = Booking(len(self.bookings) + 1, req.json())
        self.bookings.append(booking)
        body = {"confirmation": f"{self.name}-{booking.number}", "what": booking.what}
        return Response(body, 201, {"x-service": self.name})

    async def _calendar(self, req: Request) -> Response:
        self.reads += 1
        return Response({"recitals": ["2026-12-06", "2026-12-13"], "q": req.query})

    async def _venue(self, req: Request) -> Response:
        return Response({"venue": req.groups[0]})

    async def _tally(self, req: Request) -> Response:
        what = [booking.what for booking in self.bookings]
        return Response({"bookings": len(what), "what": what, "reads": self.reads})


__all__ = [
    "Service",
]
