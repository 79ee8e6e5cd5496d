"""Scenarios of a soak: what callers ask for, and which disruptions come."""

from __future__ import annotations

from dataclasses import dataclass, field

from hemlockhall_standins.soak.caller import Work

SHORT_WORK = [
    Work("read", 2.0, 20),
    Work("book", 1.0, 30, contents=8),
]
LONG_WORK = [
    Work("read", 2.0, 20),
    Work("read", 0.5, 400, contents=4),
    Work("read", 0.1, 6500, contents=0, deadline_ms=8000),
    Work("book", 0.5, 30, contents=8),
    Work("book", 0.5, 2600, contents=0, body_pause_s=0.05),
    Work("draft", 0.6, 50, contents=0, events=84, deadline_ms=20_000),
]
STREAMS = [Work("draft", 1.0, 50, contents=0, events=84, deadline_ms=20_000)]
FATAL = Work("read", 0.02, 25, fatal=True)


@dataclass(frozen=True, slots=True)
class Scenario:
    """Callers and disruptions of a run.

    One disruption follows the other after ``gaps_s``, whether that has ended or not.
    ``impatient`` is the fraction of callers that repeat at once.
    """

    works: list[Work]
    disruptions: list[str] = field(default_factory=list)
    gaps_s: tuple[float, float] = (0.4, 3.0)
    callers_per_host: int = 10
    endpoints: int = 3
    slots: int = 24
    impatient: float = 0.0


PLANNED = ["terminate", "reload", "configure", "replace"]
HOSTS = [*PLANNED, "terminate in turn", "kill", "freeze", "store"]
ENDPOINTS = ["crash", "reset", "silence", "crash all"]
LINKS = ["delay links", "cut links one way", "silence links", "terminate unheard"]

SCENARIOS = {
    "calm": Scenario(SHORT_WORK),
    "planned": Scenario(LONG_WORK, [*PLANNED, "terminate in turn"]),
    "streams": Scenario(STREAMS, ["terminate", "replace"], callers_per_host=4),
    "blackout": Scenario(SHORT_WORK, ["blackout"], (4.0, 12.0)),
    "blackout long": Scenario(LONG_WORK, ["blackout"], (2.0, 8.0)),
    "crash all": Scenario(SHORT_WORK, ["crash all"], (0.5, 6.0)),
    "fatal": Scenario([*SHORT_WORK, FATAL], ["terminate", "crash"], endpoints=8),
    "endpoints": Scenario(LONG_WORK, ENDPOINTS),
    "full": Scenario(
        SHORT_WORK, [*ENDPOINTS, "terminate", "kill"], slots=3, impatient=0.5
    ),
    "retries": Scenario(
        LONG_WORK, ["reset", "reset", "kill", "terminate"], (0.3, 1.5), impatient=0.5
    ),
    "links": Scenario(LONG_WORK, [*LINKS, "terminate", "reset"]),
    "links full": Scenario(
        SHORT_WORK, [*LINKS, "terminate", "kill", "reset"], slots=3, impatient=0.5
    ),
    "all": Scenario(LONG_WORK, [*HOSTS, *ENDPOINTS, *LINKS, "add host"], impatient=0.2),
}


__all__ = [
    "SCENARIOS",
    "Scenario",
]
