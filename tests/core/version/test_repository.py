"""Tests of concurrent submissions and of lost responses of the store."""

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
    """Return a section with ``number`` added entries."""
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
    """Return a customers section with one entry."""
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
    # Each team edits its own section on top of the version that it last submitted.
    def test_concurrent_edits_of_different_sections_are_all_kept(
        self, platform: Platform
    ) -> None:
        attempts: list[int] = []

        async def team(section: str, base: int) -> None:
            for number in range(1, EDITS + 1):
                changed = {section: edit(section, number)}
                repo = repository(platform)
                old = await repo.sections((await repo.revision(base)).digests)
                accepted = await repo.submit(join({**old, **changed}), base, section)
                assert accepted.changed == [section]
                attempts.append(accepted.tries)
                base = accepted.version

        async def run() -> dict[str, str]:
            base = (await submit(platform, 0)).version
            async with anyio.create_task_group() as group:
                for section in TEAMS:
                    group.start_soon(team, section, base)
            repo = repository(platform)
            head = await repo.head()
            assert head.version == 1 + len(TEAMS) * EDITS
            return await repo.sections(head.digests)

        final = anyio.run(run)
        for section in TEAMS:
            assert final[section] == edit(section, EDITS)

    # One edit removes a priority, the other adds a customer with it.
    def test_edits_that_are_valid_alone_but_not_together_are_refused(
        self, platform: Platform
    ) -> None:
        async def run() -> None:
            high = SECTIONS["priorities"] + "\n[priorities.high]\nrank = 0"
            await submit(platform, 0, priorities=high)
            await submit(platform, 1)
            text = {"customers": customer("abbey", "high"), "priorities": high}
            with pytest.raises(DocumentError, match="no priority 'high'"):
                await submit(platform, 1, **text)

        anyio.run(run)

    def test_an_edit_of_the_same_section_is_a_conflict_with_a_diff(
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

    # The write is applied and its response is lost. The submission finds its own id
    # in the history.
    def test_a_lost_response_does_not_create_a_second_version(
        self, platform: Platform
    ) -> None:
        async def run() -> None:
            await submit(platform, 0)
            platform.set_faults("table", lose_answers=1)
            accepted = await submit(platform, 1, customers=customer("abbey"))
            assert (accepted.version, accepted.tries) == (2, 1)
            assert (await repository(platform).head()).version == 2

        anyio.run(run)
