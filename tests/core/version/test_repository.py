"""Operators race for one document; store answers get lost."""

from __future__ import annotations

import hashlib
from collections.abc import Iterator

import anyio
import pytest

from hemlockhall_core.process.table import Objects, Table
from hemlockhall_core.version.error import DocumentError, SectionConflictError
from hemlockhall_core.version.repository import Accepted, Repository
from hemlockhall_core.version.text import join
from hemlockhall_standins.processes import Platform

SECTIONS = {
    "models": '[models.organ]\nversion = "1"\nlayers = 4',
    "priorities": "[priorities.normal]\nrank = 1",
    "adapters": '[adapters.base]\nmodel = "organ"',
    "services": (
        '[services.booking]\ncalls = [{method = "GET", path = "/x", idempotent = true}]'
    ),
}
TEAMS = tuple(SECTIONS)
EDITS = 5


def edit(section: str, number: int) -> str:
    """Return a section with one more entry than the one before."""
    added = {
        "models": 'version = "1"\nlayers = 4',
        "priorities": "rank = 2",
        "adapters": 'model = "organ"',
        "services": 'calls = [{method = "GET", path = "/x", idempotent = true}]',
    }
    text = SECTIONS[section]
    for entry in range(1, number + 1):
        text += f"\n[{section}.{section}-{entry}]\n{added[section]}"
    return text


def customer(name: str, priority: str = "normal") -> str:
    """Return a section with one customer."""
    hashed = hashlib.sha256(name.encode()).hexdigest()
    return (
        f'[customers.{name}]\nkey_sha256 = "{hashed}"\n'
        f'priority = "{priority}"\nrate_per_s = 1\nconcurrency = 1'
    )


@pytest.fixture()
def platform() -> Iterator[Platform]:
    with Platform() as running:
        yield running


def repository(platform: Platform) -> Repository:
    return Repository(Table(platform.url("table")), Objects(platform.url("objects")))


async def submit(platform: Platform, base: int, **changed: str) -> Accepted:
    text = join({**SECTIONS, **changed})
    return await repository(platform).submit(text, base, "team")


class TestSubmit:
    # Teams edit their own sections as fast as they can. Each knows only the
    # version that it last submitted; every accepted edit is there at the end.
    def test_teams_race(self, platform: Platform) -> None:
        tries: list[int] = []

        async def team(section: str, base: int) -> None:
            for number in range(1, EDITS + 1):
                changed = {section: edit(section, number)}
                held = repository(platform)
                old = await held.sections((await held.revision(base)).digests)
                accepted = await held.submit(join({**old, **changed}), base, section)
                assert accepted.changed == [section]
                tries.append(accepted.tries)
                base = accepted.version

        async def race() -> dict[str, str]:
            base = (await submit(platform, 0)).version
            async with anyio.create_task_group() as group:
                for section in TEAMS:
                    group.start_soon(team, section, base)
            held = repository(platform)
            head = await held.head()
            assert head.version == 1 + len(TEAMS) * EDITS
            return await held.sections(head.digests)

        final = anyio.run(race)
        for section in TEAMS:
            assert final[section] == edit(section, EDITS)

    # Two edits are valid alone and not together: one removes a priority, the
    # other gives it a customer. The second to come is refused.
    def test_edits_that_clash_across_sections(self, platform: Platform) -> None:
        async def run() -> None:
            high = SECTIONS["priorities"] + "\n[priorities.high]\nrank = 0"
            await submit(platform, 0, priorities=high)
            await submit(platform, 1)
            text = {"customers": customer("abbey", "high"), "priorities": high}
            with pytest.raises(DocumentError, match="no priority 'high'"):
                await submit(platform, 1, **text)

        anyio.run(run)

    def test_same_section_is_a_conflict_that_shows_both_sides(
        self, platform: Platform
    ) -> None:
        async def run() -> None:
            await submit(platform, 0)
            await submit(platform, 1, customers=customer("abbey"))
            with pytest.raises(SectionConflictError) as caught:
                await submit(platform, 1, customers=customer("choir"))
            assert "-[customers.abbey]" in caught.value.diff
            assert "+[customers.choir]" in caught.value.diff

        anyio.run(run)

    # The write takes effect and its answer is lost: the submission finds its
    # own id in the history and there is one version, not two.
    def test_lost_answer(self, platform: Platform) -> None:
        async def run() -> None:
            await submit(platform, 0)
            platform.set_faults("table", lose_answers=1)
            accepted = await submit(platform, 1, customers=customer("abbey"))
            assert (accepted.version, accepted.tries) == (2, 1)
            assert (await repository(platform).head()).version == 2

        anyio.run(run)
