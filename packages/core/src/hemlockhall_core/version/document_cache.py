"""The version of the document that is in force in a process."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from loguru import logger

from hemlockhall_core.connection.message import (
    DocumentRequest,
    DocumentText,
    SectionRef,
    SectionText,
)
from hemlockhall_core.version.document import Document, build
from hemlockhall_core.version.text import digest, join

if TYPE_CHECKING:
    from collections.abc import Callable

    from hemlockhall_core.connection.peer import Peer
    from hemlockhall_core.process.metric import Metrics

ASK_AGAIN = 0.5


class DocumentCache:
    """Adopts higher versions only, from the store or from a peer.

    Parameters
    ----------
    wanted : tuple of str
        Names of the sections that this process needs.
    metrics : Metrics
        Shows the version in force.
    adopted : callable
        Called after each adoption.
    """

    def __init__(
        self,
        wanted: tuple[str, ...],
        metrics: Metrics,
        adopted: Callable[[], None],
    ) -> None:
        self.document = Document(0)
        self.digests: dict[str, str] = {}
        self._texts: dict[str, str] = {}
        self._wanted = wanted
        self._metrics = metrics
        self._adopted = adopted
        self._ask_at = 0.0

    @property
    def version(self) -> int:
        """The version in force; 0 before the first."""
        return self.document.version

    def held(self) -> dict[str, str]:
        """Return the texts held, by digest."""
        return {digest(text): text for text in self._texts.values()}

    def missing_sections(self, digests: dict[str, str]) -> dict[str, str]:
        """Return those wanted sections whose text is not held."""
        held = self.held()
        missing = {}
        for name, wanted in digests.items():
            if name in self._wanted and wanted not in held:
                missing[name] = wanted
        return missing

    def adopt(
        self, version: int, digests: dict[str, str], texts: dict[str, str]
    ) -> bool:
        """Put a version in force if it is higher; return whether it was.

        ``texts`` holds the missing sections, by digest.
        """
        # A stale read, a paused process or a peer that is behind may offer an
        # old version; the symptom would be a removed endpoint taking work
        # again. Comparing here is enough: there is no other way in.
        if version <= self.version:
            return False
        known = {**self.held(), **texts}
        sections: dict[str, str] = {}
        for name, wanted in digests.items():
            if name not in self._wanted:
                continue
            if wanted not in known:
                return False
            sections[name] = known[wanted]
        self.document = build(join(sections), version)
        self.digests = dict(digests)
        self._texts = sections
        self._metrics.document_version(version)
        logger.bind(version=version).info("document version in force")
        self._adopted()
        return True

    def request_if_newer(self, peer: Peer, version: int) -> None:
        """Ask a peer for its version if it is higher than the one here."""
        now = time.monotonic()
        if version <= self.version or now < self._ask_at:
            return
        self._ask_at = now + ASK_AGAIN
        held = [SectionRef(n, digest(t)) for n, t in self._texts.items()]
        peer.post(DocumentRequest(list(self._wanted), held))

    def make_response(self, ask: DocumentRequest) -> DocumentText:
        """Return what a peer lacks of the version in force here."""
        held = {ref.digest for ref in ask.known_sections}
        texts = []
        for name, text in self._texts.items():
            found = digest(text)
            if found in held or (ask.sections and name not in ask.sections):
                continue
            texts.append(SectionText(name, found, text))
        refs = [SectionRef(n, d) for n, d in self.digests.items()]
        return DocumentText(self.version, refs, texts)

    def apply_response(self, message: DocumentText) -> None:
        """Adopt what a peer sent; texts that do not match are not taken."""
        self._ask_at = 0.0
        digests = {ref.name: ref.digest for ref in message.refs}
        texts = {t.digest: t.text for t in message.texts if digest(t.text) == t.digest}
        self.adopt(message.version, digests, texts)


__all__ = [
    "DocumentCache",
]
