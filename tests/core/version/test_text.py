"""Tests of splitting the text of a document into sections."""

from __future__ import annotations

import pytest

from hemlockhall_core.version.error import DocumentError
from hemlockhall_core.version.text import find_line, join, parse, split

TEXT = """\
# owned by the models team
[models.organ]
layers = 4

[customers.parish]
rate = 5
[models.other]
layers = 8
"""


class TestParse:
    def test_a_nested_document_is_an_error_of_the_document(self) -> None:
        """Guards against a submitted document that fails the process that reads it."""
        with pytest.raises(DocumentError, match="RecursionError"):
            parse("a = " + "[" * 3000 + "]" * 3000)


class TestSplit:
    def test_sections_keep_comments_and_order(self) -> None:
        sections = split(TEXT)
        assert sorted(sections) == ["customers", "models"]
        assert sections["models"].startswith("# owned by the models team")
        assert sections["models"].index("organ") < sections["models"].index("other")

    def test_join_gives_the_same_document(self) -> None:
        assert parse(join(split(TEXT))) == parse(TEXT)

    def test_split_of_a_join_is_stable(self) -> None:
        once = split(TEXT)
        assert split(join(once)) == once

    def test_a_key_outside_of_a_section_is_reported_with_its_line(self) -> None:
        with pytest.raises(DocumentError, match="line 2"):
            split("# comment\nloose = 1\n[models.a]\n")

    def test_a_header_inside_a_string_is_refused(self) -> None:
        with pytest.raises(DocumentError, match="multi-line string"):
            split('[models.a]\nnote = """\n[customers.x]\n"""\n')


class TestFindLine:
    def test_the_key_of_an_entry_is_found(self) -> None:
        assert find_line(TEXT, ("models", "other", "layers")) == 8

    def test_a_missing_key_falls_back_to_its_entry(self) -> None:
        assert find_line(TEXT, ("customers", "parish", "priority")) == 5
