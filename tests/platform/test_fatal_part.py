"""Router processes before model servers that crash under one part of prompts."""

from __future__ import annotations

import pytest

from hemlockhall_platform_standins.fatal import CrashPattern
from hemlockhall_router.policy.spectrum import MIN_CRASHED
from hemlockhall_standins.soak.fatal import FatalOptions, FatalPlay

pytestmark = pytest.mark.anyio

SEED = 2
SECONDS = 16.0
FATAL_FROM_S = 4.0
# Crashes after which all hosts refuse such requests, the time after the last of them in
# which they learn of it, and requests that may still come later.
CRASHES = 5
CONTACT_S = 3.0
MAX_ARRIVALS = 3
# Of the fraction of sound requests that was served before.
SERVED_FRACTION = 0.9
AFTER_EVENTS = CrashPattern(0.1, (3,))
AFTER_ALL_EVENTS = CrashPattern(1.2, (8,))
NOT_EACH_TIME = CrashPattern(0.1, (-1, 0, 1), probability=0.5)


class TestParts:
    @pytest.mark.parametrize(
        ("pattern", "resumable"),
        [(AFTER_EVENTS, True), (AFTER_ALL_EVENTS, False), (NOT_EACH_TIME, True)],
        ids=["events", "all events", "not each time"],
    )
    async def test_one_that_crashes_servers_is_sent_on_no_more(
        self, pattern: CrashPattern, resumable: bool
    ) -> None:
        """Guards against a part that crashes servers after some events, or not each
        time, and that any progress of a response clears of all crashes."""
        options = FatalOptions(
            pattern,
            SEED,
            seconds=SECONDS,
            fatal_from_s=FATAL_FROM_S,
            resumable=resumable,
        )
        play = FatalPlay(options)
        await play.run()
        assert len(play.crashes) >= MIN_CRASHED
        assert play.arrivals_after_crash(CRASHES, CONTACT_S) <= MAX_ARRIVALS
        after, before = play.served(before=False), play.served(before=True)
        assert after >= SERVED_FRACTION * before
