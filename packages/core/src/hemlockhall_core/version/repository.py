"""Accepted versions of the document in the platform's stores.

The object store holds the text of each section under its digest. In the table
service, the head row holds the accepted version with the digests of its sections,
and one row per version forms the history.
"""

from __future__ import annotations

import difflib
import random
import secrets
from datetime import UTC, datetime
from typing import Annotated

import anyio
import msgspec
from loguru import logger

from hemlockhall_core.process.error import (
    RowError,
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

HEAD_KEY = "document/head"
HISTORY_PREFIX = "document/history/"
# Limit on the commits of a submission, and on the reads that resolve their outcome.
MAX_ATTEMPTS = 40
MIN_BACKOFF_S = 0.02
MAX_BACKOFF_S = 1.0


# Exact as a floating-point number, too.
Version = Annotated[int, msgspec.Meta(ge=0, le=2**53 - 1)]
# Names objects in paths.
Digest = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}\Z")]


class Revision(msgspec.Struct):
    """An accepted version.

    ``digests`` are those of its sections by name, ``submit`` is the id of the
    submission and ``revision`` the submitter's own version control revision.
    """

    version: Version
    digests: dict[str, Digest]
    submit: str
    who: str
    when: str
    revision: str = ""


# Version 0: the history before the first submission.
EMPTY_REVISION = Revision(0, {}, "", "", "")


class Accepted(msgspec.Struct):
    """Result of a submission; ``changed`` are the names of changed sections."""

    version: int
    changed: list[str]
    tries: int
    digests: dict[str, str]


def history_key(version: int) -> str:
    """Return the key of the history row; zero padding keeps keys in version order."""
    return f"{HISTORY_PREFIX}{version:012d}"


class Repository:
    """Reads and submits versions of the document in the stores."""

    def __init__(self, table: Table, objects: Objects) -> None:
        self._table = table
        self._objects = objects

    async def head(self) -> Revision:
        """Return the accepted version, version 0 if there is none."""
        row = await self._table.read(HEAD_KEY)
        if row is None:
            return EMPTY_REVISION
        return row.decode(Revision)

    async def revision(self, version: int) -> Revision:
        """Return a version of the history."""
        if version == 0:
            return EMPTY_REVISION
        row = await self._table.read(history_key(version))
        if row is None:
            msg = f"no version {version} in the history; see 'hemlockhall history'"
            raise SubmitError(msg)
        return row.decode(Revision)

    async def history(self, limit: int) -> list[Revision]:
        """Return the newest versions, newest first, without malformed rows."""
        rows = await self._table.scan(HISTORY_PREFIX, limit)
        found = []
        for row in rows:
            try:
                found.append(row.decode(Revision))
            except RowError as exc:
                logger.warning("{}", exc)
        return found

    async def sections(self, digests: dict[str, str]) -> dict[str, str]:
        """Return the texts of sections by name, given their digests by name."""
        texts: dict[str, str] = {}
        for name, section_digest in digests.items():
            text = await self._objects.read(section_digest)
            if text is None:
                msg = f"section {name} ({section_digest}) is not in the object store"
                raise SubmitError(msg)
            texts[name] = text
        return texts

    async def submit(
        self, text: str, base: int, who: str, revision: str = ""
    ) -> Accepted:
        """Submit a document as the new accepted version.

        Sections that differ from version ``base`` are the submitter's changes; the
        others are taken from the accepted version. If the result is equal to the
        accepted version, that version is returned and nothing is committed.

        Raises
        ------
        DocumentError
            The document is not valid, alone or merged with the accepted one.
        SectionConflictError
            A changed section was also changed by another submission.
        SubmitUnknownError
            It is not known whether the submission was accepted.
        SubmitError
            The submission was not accepted, or a version or section of the stores
            does not exist.
        PlatformError
            A read of the stores or a write of a section failed.
        """
        mine = split(text)
        validate(text)
        old = await self.revision(base)
        changed = _changed_sections(mine, old.digests)
        submission_id = secrets.token_hex(16)
        for name in changed:
            if name in mine:
                await self._objects.write(digest(mine[name]), mine[name])
        for attempt in range(1, MAX_ATTEMPTS + 1):
            new = await self._try_commit(
                submission_id, mine, old, changed, who, revision
            )
            if new is not None:
                return Accepted(new.version, changed, attempt, new.digests)
            # The commit was not applied, usually because another submission changed
            # the head first. The backoff does not grow with the attempts, so that a
            # submitter that lost often is as likely to win as a new one.
            await anyio.sleep(random.uniform(MIN_BACKOFF_S, 5 * MIN_BACKOFF_S))
        msg = f"other submissions came first in {MAX_ATTEMPTS} attempts; submit again"
        raise SubmitError(msg)

    async def _try_commit(
        self,
        submission_id: str,
        mine: dict[str, str],
        old: Revision,
        changed: list[str],
        who: str,
        vcs_revision: str,
    ) -> Revision | None:
        row = await self._table.read(HEAD_KEY)
        head = row.decode(Revision) if row else EMPTY_REVISION
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
        new = Revision(
            head.version + 1, digests, submission_id, who, when, vcs_revision
        )
        value = msgspec.to_builtins(new)
        # The check on the head row keeps two submissions that are valid alone, but
        # not together, from both being accepted.
        transaction = Transaction(
            [Check(HEAD_KEY, row.version if row else 0)],
            [Put(HEAD_KEY, value), Put(history_key(new.version), value)],
        )
        try:
            await self._table.commit(transaction)
        except StoreConflictError:
            return None
        except (StoreOutcomeUnknownError, StoreUnavailableError):
            return await self._resolve_outcome(submission_id, new.version)
        return new

    async def _resolve_outcome(
        self, submission_id: str, version: int
    ) -> Revision | None:
        """Find out whether a commit that failed with an error was applied.

        The history row of the intended version holds the id of this submission or
        of another one, or does not exist. In the last case a new attempt is safe:
        the check on the head row lets only one of the two commits succeed.
        """
        delay_s = MIN_BACKOFF_S
        for _ in range(MAX_ATTEMPTS):
            try:
                row = await self._table.read(history_key(version))
            except (StoreOutcomeUnknownError, StoreUnavailableError):
                await anyio.sleep(delay_s)
                delay_s = min(MAX_BACKOFF_S, delay_s * 2)
                continue
            if row is None:
                return None
            try:
                found = row.decode(Revision)
            except RowError:
                # Another writer has taken the version.
                return None
            return found if found.submit == submission_id else None
        msg = (
            "it is not known whether the submission was accepted; look for version "
            f"{version} in 'hemlockhall history' before submitting again"
        )
        raise SubmitUnknownError(msg)

    async def _check_conflict(
        self, mine: dict[str, str], old: Revision, head: Revision, changed: list[str]
    ) -> None:
        conflicting: list[str] = []
        for name in changed:
            theirs = head.digests.get(name)
            if theirs == old.digests.get(name):
                continue
            if name in mine and theirs == digest(mine[name]):
                continue
            conflicting.append(name)
        if not conflicting:
            return
        wanted = {n: head.digests[n] for n in conflicting if n in head.digests}
        texts = await self.sections(wanted)
        parts = []
        for name in conflicting:
            parts.append(_diff(name, texts.get(name, ""), mine.get(name, "")))
        raise SectionConflictError(conflicting, "\n".join(parts))

    async def _check_merged(
        self, mine: dict[str, str], digests: dict[str, str], changed: list[str]
    ) -> None:
        others = {n: d for n, d in digests.items() if n not in changed}
        merged = await self.sections(others)
        for name in changed:
            if name in mine:
                merged[name] = mine[name]
        validate(join(merged))


def _changed_sections(mine: dict[str, str], old: dict[str, str]) -> list[str]:
    changed = []
    for name in sorted(set(mine) | set(old)):
        new_digest = digest(mine[name]) if name in mine else None
        if new_digest != old.get(name):
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
