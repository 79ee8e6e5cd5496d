"""The version of the document in force in a process, and its exchange with peers.

The version in force is the one that this process uses. It may be older than the
accepted version in the platform's stores.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from loguru import logger

from hemlockhall_core.connection.decoding import DecodeError, decoding
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

# Least time between two requests, to any peer, while no response arrives.
REQUEST_INTERVAL_S = 0.5


class DocumentCache:
    """Holds the document in force; only a higher version replaces it.

    Parameters
    ----------
    section_names : tuple of str
        Sections that this process needs.
    metrics : Metrics
        Exports the version in force.
    on_adopted : callable
        Called after a version was adopted.
    """

    def __init__(
        self,
        section_names: tuple[str, ...],
        metrics: Metrics,
        on_adopted: Callable[[], None],
    ) -> None:
        self.document = Document(0)
        self.digests: dict[str, str] = {}
        self._texts: dict[str, str] = {}
        self._section_names = section_names
        self._metrics = metrics
        self._on_adopted = on_adopted
        self._next_request_at = 0.0

    @property
    def version(self) -> int:
        """The version in force, 0 before the first."""
        return self.document.version

    def texts_by_digest(self) -> dict[str, str]:
        """Return the texts of the current sections, by digest."""
        return {digest(text): text for text in self._texts.values()}

    def missing_sections(self, digests: dict[str, str]) -> dict[str, str]:
        """Return the needed sections of ``digests`` whose texts are not cached."""
        known = self.texts_by_digest()
        missing = {}
        for name, section_digest in digests.items():
            if name in self._section_names and section_digest not in known:
                missing[name] = section_digest
        return missing

    def adopt(
        self, version: int, digests: dict[str, str], texts: dict[str, str]
    ) -> bool:
        """Put a higher version in force; return whether that was done.

        ``texts`` are the texts of the missing sections, by digest. A version with
        a missing text is not adopted, nor one that is no document.
        """
        # A stale read, a paused process or an outdated peer may offer an old
        # version, which would make a removed endpoint receive requests again. All
        # versions pass this check.
        if version <= self.version:
            return False
        known = {**self.texts_by_digest(), **texts}
        sections: dict[str, str] = {}
        for name, section_digest in digests.items():
            if name not in self._section_names:
                continue
            if section_digest not in known:
                return False
            sections[name] = known[section_digest]
        try:
            with decoding("document"):
                self.document = build(join(sections), version)
        except DecodeError as exc:
            logger.bind(version=version).warning("document not adopted: {}", exc)
            return False
        self.digests = dict(digests)
        self._texts = sections
        self._metrics.set_document_version(version)
        logger.bind(version=version).info("document version in force")
        self._on_adopted()
        return True

    def request_if_newer(self, peer: Peer, version: int) -> None:
        """Request the document from a peer that has a higher version in force."""
        now = time.monotonic()
        if version <= self.version or now < self._next_request_at:
            return
        self._next_request_at = now + REQUEST_INTERVAL_S
        known = [SectionRef(n, digest(t)) for n, t in self._texts.items()]
        peer.post(DocumentRequest(list(self._section_names), known))

    def make_response(self, request: DocumentRequest) -> DocumentText:
        """Return the version in force, with the texts that the peer lacks.

        Only texts of sections that this process needs can be included.
        """
        known = {ref.digest for ref in request.known_sections}
        texts = []
        for name, text in self._texts.items():
            section_digest = digest(text)
            if section_digest in known or (
                request.sections and name not in request.sections
            ):
                continue
            texts.append(SectionText(name, section_digest, text))
        refs = [SectionRef(n, d) for n, d in self.digests.items()]
        return DocumentText(self.version, refs, texts)

    def apply_response(self, message: DocumentText) -> None:
        """Adopt the version of a peer; ignore texts that do not match their digest."""
        self._next_request_at = 0.0
        digests = {ref.name: ref.digest for ref in message.refs}
        texts = {t.digest: t.text for t in message.texts if digest(t.text) == t.digest}
        self.adopt(message.version, digests, texts)


__all__ = [
    "DocumentCache",
]
