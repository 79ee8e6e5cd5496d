"""Versions of the document in the platform's stores.

The object store holds the text of each section under its digest. One row of
the table service, the head, names the accepted version and the digest of
each section; one row a version keeps the history.
"""

from __future__ import annotations

import difflib
import random
import secrets
from datetime import UTC, datetime

import anyio
import msgspec

from hemlockhall_core.process.error import (
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from hemlockhall_core.process.table import Check, Objects, Put, Table, Transaction
from hemlockhall_core.version.document import validate
from hemlockhall_core.version.error import (
    SectionConflictError,
    SubmitError,
    SubmitUnknownError,
)
from hemlockhall_core.version.text import digest, join, split

HEAD = "document/head"
HISTORY = "document/history/"
MAX_TRIES = 40
MIN_BACK_OFF = 0.02
MAX_BACK_OFF = 1.0


class Revision(msgspec.Struct):
    """An accepted version: its sections' digests, and who submitted it when."""

    version: int
    digests: dict[str, str]
    submit: str
    who: str
    when: str
    revision: str = ""


EMPTY = Revision(0, {}, "", "", "")


class Accepted(msgspec.Struct):
    """The result of a submission."""

    version: int
    changed: list[str]
    tries: int
    digests: dict[str, str]


def history_key(version: int) -> str:
    """Return the key of a version's history row; keys sort as versions do."""
    return f"{HISTORY}{version:012d}"


class Repository:
    """Reads and submits versions of the document."""

    def __init__(self, table: Table, objects: Objects) -> None:
        self._table = table
        self._objects = objects

    async def head(self) -> Revision:
        """Return the accepted version, or version 0 if there is none."""
        row = await self._table.read(HEAD)
        if row is None:
            return EMPTY
        return msgspec.convert(row.value, Revision)

    async def revision(self, version: int) -> Revision:
        """Return one version of the history."""
        if version == 0:
            return EMPTY
        row = await self._table.read(history_key(version))
        if row is None:
            msg = f"no version {version} in the history; see 'hemlockhall history'"
            raise SubmitError(msg)
        return msgspec.convert(row.value, Revision)

    async def history(self, limit: int) -> list[Revision]:
        """Return the newest versions, newest first."""
        rows = await self._table.scan(HISTORY, limit)
        return [msgspec.convert(row.value, Revision) for row in rows]

    async def sections(self, digests: dict[str, str]) -> dict[str, str]:
        """Return the texts of sections, by name."""
        texts: dict[str, str] = {}
        for name, wanted in digests.items():
            text = await self._objects.read(wanted)
            if text is None:
                msg = f"the object store has lost section {name} ({wanted})"
                raise SubmitError(msg)
            texts[name] = text
        return texts

    async def submit(
        self, text: str, base: int, who: str, revision: str = ""
    ) -> Accepted:
        """Make a text the accepted document; return its version.

        Sections that differ from version ``base`` are the submitter's edits;
        others are taken as they are accepted now. Raises
        :class:`DocumentError`, :class:`SubmitError` or a kin of it.
        """
        mine = split(text)
        validate(text)
        old = await self.revision(base)
        changed = _changed(mine, old.digests)
        submit = secrets.token_hex(16)
        for name in changed:
            if name in mine:
                await self._objects.write(digest(mine[name]), mine[name])
        for tries in range(1, MAX_TRIES + 1):
            new = await self._try(submit, mine, old, changed, who, revision)
            if new is not None:
                return Accepted(new.version, changed, tries, new.digests)
            # Others' edits of other sections keep winning the race for the
            # head. Random back-off that does not grow with the tries lets a
            # submitter that lost often win as likely as a new one.
            await anyio.sleep(random.uniform(MIN_BACK_OFF, 5 * MIN_BACK_OFF))
        msg = f"lost the race for the head {MAX_TRIES} times; submit again"
        raise SubmitError(msg)

    async def _try(
        self,
        submit: str,
        mine: dict[str, str],
        old: Revision,
        changed: list[str],
        who: str,
        note: str,
    ) -> Revision | None:
        row = await self._table.read(HEAD)
        head = msgspec.convert(row.value, Revision) if row else EMPTY
        await self._check_conflict(mine, old, head, changed)
        digests = dict(head.digests)
        for name in changed:
            digests.pop(name, None)
            if name in mine:
                digests[name] = digest(mine[name])
        if digests == head.digests:
            return head
        await self._check_merged(mine, digests, changed)
        when = datetime.now(UTC).isoformat(timespec="milliseconds")
        new = Revision(head.version + 1, digests, submit, who, when, note)
        value = msgspec.to_builtins(new)
        # The check on the head row is what keeps two submissions that are
        # valid alone, but not together, from both being accepted.
        transaction = Transaction(
            [Check(HEAD, row.version if row else 0)],
            [Put(HEAD, value), Put(history_key(new.version), value)],
        )
        try:
            await self._table.commit(transaction)
        except StoreConflictError:
            return None
        except (StoreOutcomeUnknownError, StoreUnavailableError):
            return await self._settle(submit, new.version)
        return new

    async def _settle(self, submit: str, version: int) -> Revision | None:
        """Find out whether a submission with a lost answer took effect.

        The history row of the version that it aimed at tells: it holds this
        submission's id, somebody else's, or nothing. Trying again after
        nothing is safe, as the head's row version admits one of the two.
        """
        pause = MIN_BACK_OFF
        for _ in range(MAX_TRIES):
            try:
                row = await self._table.read(history_key(version))
            except (StoreOutcomeUnknownError, StoreUnavailableError):
                await anyio.sleep(pause)
                pause = min(MAX_BACK_OFF, pause * 2)
                continue
            if row is None:
                return None
            found = msgspec.convert(row.value, Revision)
            return found if found.submit == submit else None
        msg = (
            "the store did not say whether the submission took effect; look for "
            f"version {version} in 'hemlockhall history' before submitting again"
        )
        raise SubmitUnknownError(msg)

    async def _check_conflict(
        self, mine: dict[str, str], old: Revision, head: Revision, changed: list[str]
    ) -> None:
        clashing: list[str] = []
        for name in changed:
            theirs = head.digests.get(name)
            if theirs == old.digests.get(name):
                continue
            if name in mine and theirs == digest(mine[name]):
                continue
            clashing.append(name)
        if not clashing:
            return
        wanted = {n: head.digests[n] for n in clashing if n in head.digests}
        texts = await self.sections(wanted)
        parts = []
        for name in clashing:
            parts.append(_diff(name, texts.get(name, ""), mine.get(name, "")))
        raise SectionConflictError(clashing, "\n".join(parts))

    async def _check_merged(
        self, mine: dict[str, str], digests: dict[str, str], changed: list[str]
    ) -> None:
        others = {n: d for n, d in digests.items() if n not in changed}
        merged = await self.sections(others)
        for name in changed:
            if name in mine:
                merged[name] = mine[name]
        validate(join(merged))


def _changed(mine: dict[str, str], old: dict[str, str]) -> list[str]:
    changed = []
    for name in sorted(set(mine) | set(old)):
        present = digest(mine[name]) if name in mine else None
        if present != old.get(name):
            changed.append(name)
    return changed


def _diff(name: str, theirs: str, mine: str) -> str:
    lines = difflib.unified_diff(
        theirs.splitlines(),
        mine.splitlines(),
        f"{name} (accepted)",
        f"{name} (yours)",
        lineterm="",
    )
    return "\n".join(lines)


__all__ = [
    "Accepted",
    "Repository",
    "Revision",
]
