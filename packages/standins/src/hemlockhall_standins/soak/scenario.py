"""Scenarios of a soak: what callers ask for, and which disruptions come."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from hemlockhall_platform_standins.document import RETRY_CONSTANT
from hemlockhall_platform_standins.endpoint import FAIL, RESET
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
OWN_LOOKUPS = [Work("read", 1.0, 20, contents=0)]
SLOW_LOOKUPS = [Work("read", 1.0, 1200, deadline_ms=8000)]
STREAMS = [Work("draft", 1.0, 50, contents=0, events=84, deadline_ms=20_000)]
FATAL = Work("read", 0.02, 25, fatal=True)


@dataclass(frozen=True, slots=True)
class Moves:
    """Callers that all use one group of hosts, and move from group to group.

    The first group has them for ``first_s``, each other one for ``turn_s``, and then
    the first one again. Endpoints break off requests in the last ``failing_s`` of a
    turn. ``leave_action`` names what then happens to the hosts that lose the callers.
    """

    group_count: int
    turn_s: float
    failing_s: float
    leave_action: str | None = None
    first_s: float = 11.5


@dataclass(frozen=True, slots=True)
class Scenario:
    """Callers and disruptions of a run.

    One disruption follows the other after ``gaps_s``, whether that has ended or not.
    ``impatient`` is the fraction of callers that repeat at once. Callers pause for a
    time within ``pause_s`` after each response. With ``bursts`` they send only between
    these times of each ``period_s``. Lookups have ``read_attempts``, and
    endpoints do not serve ``broken`` of the requests, from the start to the end, but do
    one of ``failures`` to them. With ``moves`` they do so at the ends of turns only,
    and callers choose their hosts by these. ``retry_constant`` is the number of retries
    that the budget allows besides those for each request.
    """

    works: list[Work]
    disruptions: list[str] = field(default_factory=list)
    gaps_s: tuple[float, float] = (0.4, 3.0)
    callers_per_host: int = 10
    endpoints: int = 3
    slots: int = 24
    impatient: float = 0.0
    pause_s: tuple[float, float] = (0.0, 0.05)
    bursts: tuple[tuple[float, float], ...] = ()
    period_s: float = 0.0
    read_attempts: int = 3
    broken: float = 0.0
    failures: tuple[str, ...] = (RESET,)
    moves: Moves | None = None
    retry_constant: int = RETRY_CONSTANT


PLANNED = ["terminate", "reload", "configure", "replace"]
HOSTS = [*PLANNED, "terminate in turn", "kill", "freeze", "store"]
ENDPOINTS = ["crash", "reset", "silence", "crash all"]
LINKS = ["delay links", "cut links one way", "silence links", "terminate unheard"]


def pressed(*disruptions: str, **fields: Any) -> Scenario:
    """Return a scenario in which callers want more retries than the budget allows."""
    defaults: dict[str, Any] = {
        "works": SHORT_WORK,
        "disruptions": list(disruptions),
        "gaps_s": (0.5, 4.0),
        "endpoints": 16,
        "slots": 60,
        "pause_s": (0.0, 0.66),
        "read_attempts": 6,
        "broken": 0.5,
    }
    return Scenario(**{**defaults, **fields})


def moving(
    group_count: int, turn_s: float, callers: int, leave_action: str | None = None
) -> Scenario:
    """Return a scenario in which callers move, each time after a burst of failures."""
    return pressed(
        works=[Work("read", 1.0, 20)],
        callers_per_host=callers,
        pause_s=(0.0, 0.8),
        failures=(FAIL,),
        broken=1.0,
        moves=Moves(group_count, turn_s, 1.1, leave_action),
        retry_constant=198,
    )


SCENARIOS = {
    "calm": Scenario(SHORT_WORK),
    "planned": Scenario(LONG_WORK, [*PLANNED, "terminate in turn"]),
    "streams": Scenario(STREAMS, ["terminate", "replace"], callers_per_host=4),
    "blackout": Scenario(SHORT_WORK, ["blackout"], (4.0, 12.0)),
    "blackout long": Scenario(LONG_WORK, ["blackout"], (2.0, 8.0)),
    "dark": Scenario(SHORT_WORK, ["silence all", "silence all long"], (8.0, 16.0)),
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
    "pressed": pressed(),
    "pressed kills": pressed("kill", "kill", "terminate", "kill all"),
    "pressed links": pressed(*LINKS, "part"),
    "pressed both": pressed(*LINKS, "part", "kill", "kill all", "freeze"),
    "pressed growth": pressed(
        "add host", "kill", "part", "terminate in turn", broken=0.3
    ),
    "pressed late": pressed("silence all", "kill", "part", broken=0.4),
    "pressed later": pressed(
        "silence all long",
        works=OWN_LOOKUPS,
        gaps_s=(14.0, 18.0),
        failures=(FAIL,),
        callers_per_host=40,
        pause_s=(0.0, 4.0),
    ),
    "pressed store": pressed("store", "kill", "freeze", "terminate", "configure"),
    "pressed freezes": pressed("freeze", "freeze long", "part", failures=(FAIL,)),
    "pressed waves": pressed(
        works=SLOW_LOOKUPS,
        bursts=((0.0, 0.3), (8.0, 8.3)),
        period_s=20.0,
        failures=(FAIL,),
        broken=0.9,
        callers_per_host=40,
    ),
    "moves 2": moving(2, 8.2, callers=60),
    "moves 4": moving(4, 2.6, callers=30),
    "moves killed 4": moving(4, 2.6, 25, "kill"),
    "moves killed 6": moving(6, 1.6, 20, "kill"),
    "moves frozen 4": moving(4, 2.6, 25, "freeze"),
    "moves parted 4": moving(4, 2.6, 25, "part"),
    "moves parted 6": moving(6, 1.6, 20, "part"),
    "moves growing 4": moving(4, 2.6, 25, "add host"),
    "pressed failing": pressed(
        "kill", "terminate", "kill all", *LINKS, "part", "freeze", failures=(FAIL,)
    ),
    "pressed all": pressed(
        *HOSTS, *LINKS, "part", "kill all", "silence all", "add host", impatient=0.2
    ),
}


__all__ = [
    "SCENARIOS",
    "Moves",
    "Scenario",
    "pressed",
]
