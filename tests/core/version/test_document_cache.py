"""Tests of the cache of the document in force."""

from __future__ import annotations

import msgspec

from hemlockhall_core.connection.message import DocumentRequest, SectionRef
from hemlockhall_core.process.metric import Metrics
from hemlockhall_core.version.document_cache import DocumentCache
from hemlockhall_core.version.text import digest

OLD = "[priorities.normal]\nrank = 1"
NEW = "[priorities.normal]\nrank = 2"


def make_cache() -> DocumentCache:
    return DocumentCache(("priorities",), Metrics(), lambda: None)


def adopt(cache: DocumentCache, version: int, text: str) -> bool:
    found = digest(text)
    return cache.adopt(version, {"priorities": found}, {found: text})


class TestAdopt:
    # The store returns a stale head, or a peer that lags offers its version, after a
    # higher one was adopted.
    def test_a_lower_or_equal_version_is_not_adopted(self) -> None:
        cache = make_cache()
        assert adopt(cache, 2, NEW)
        assert not adopt(cache, 1, OLD)
        assert not adopt(cache, 2, OLD)
        assert cache.digests == {"priorities": digest(NEW)}

    def test_a_version_with_a_missing_text_is_not_adopted(self) -> None:
        cache = make_cache()
        assert not cache.adopt(1, {"priorities": digest(OLD)}, {})
        assert cache.version == 0


class TestResponse:
    def test_a_peer_gets_only_the_texts_that_it_lacks(self) -> None:
        cache = make_cache()
        adopt(cache, 2, NEW)
        everything = cache.make_response(DocumentRequest(["priorities"], []))
        assert [text.text for text in everything.texts] == [NEW]
        known = SectionRef("priorities", digest(NEW))
        assert cache.make_response(DocumentRequest(["priorities"], [known])).texts == []

    def test_a_text_that_does_not_match_its_digest_is_not_adopted(self) -> None:
        cache, other = make_cache(), make_cache()
        adopt(cache, 2, NEW)
        message = cache.make_response(DocumentRequest([], []))
        forged = msgspec.structs.replace(message.texts[0], text=OLD)
        other.apply_response(msgspec.structs.replace(message, texts=[forged]))
        assert other.version == 0
