"""Tests of the version in force in a process."""

from __future__ import annotations

import msgspec

from hemlockhall_core.connection.message import DocumentRequest, SectionRef
from hemlockhall_core.process.metric import Metrics
from hemlockhall_core.version.document_cache import DocumentCache
from hemlockhall_core.version.text import digest

OLD = "[priorities.normal]\nrank = 1"
NEW = "[priorities.normal]\nrank = 2"


def holder() -> DocumentCache:
    return DocumentCache(("priorities",), Metrics(), lambda: None)


def adopt(made: DocumentCache, version: int, text: str) -> bool:
    found = digest(text)
    return made.adopt(version, {"priorities": found}, {found: text})


class TestAdopt:
    # The store answers with a stale head, or a peer that is behind offers its
    # version, after a higher one was used here.
    def test_a_lower_or_equal_version_is_not_adopted(self) -> None:
        made = holder()
        assert adopt(made, 2, NEW)
        assert not adopt(made, 1, OLD)
        assert not adopt(made, 2, OLD)
        assert made.digests == {"priorities": digest(NEW)}

    def test_a_version_with_a_missing_text_is_not_adopted(self) -> None:
        made = holder()
        assert not made.adopt(1, {"priorities": digest(OLD)}, {})
        assert made.version == 0


class TestAnswer:
    def test_a_peer_gets_what_it_lacks(self) -> None:
        made = holder()
        adopt(made, 2, NEW)
        whole = made.make_response(DocumentRequest(["priorities"], []))
        assert [text.text for text in whole.texts] == [NEW]
        held = SectionRef("priorities", digest(NEW))
        assert made.make_response(DocumentRequest(["priorities"], [held])).texts == []

    def test_a_text_that_does_not_match_its_digest_is_not_adopted(self) -> None:
        made, other = holder(), holder()
        adopt(made, 2, NEW)
        message = made.make_response(DocumentRequest([], []))
        forged = msgspec.structs.replace(message.texts[0], text=OLD)
        other.apply_response(msgspec.structs.replace(message, texts=[forged]))
        assert other.version == 0
