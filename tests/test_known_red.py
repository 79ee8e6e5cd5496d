"""Tests listed in KNOWN-RED.txt."""

from __future__ import annotations

from pathlib import Path

import pytest

pytest_plugins = ["pytester"]

CONFTEST = Path(__file__).with_name("conftest.py")


class TestKnownRed:
    def test_only_listed_tests_may_fail(self, pytester: pytest.Pytester) -> None:
        """Guards against a list that hides the failure of a test that is not on it."""
        pytester.makeconftest(CONFTEST.read_text())
        pytester.makepyfile(
            test_some="""
            def test_listed():
                assert False

            def test_listed_too():
                assert False
            """
        )
        known_red = pytester.path / "KNOWN-RED.txt"
        known_red.write_text("test_some.py::test_listed | command | seen | issue 1\n")
        result = pytester.runpytest_inprocess()
        result.assert_outcomes(xfailed=1, failed=1)
        result.stdout.fnmatch_lines(
            ["known red, xfailed: test_some.py::test_listed | command*"]
        )

    def test_a_listed_test_that_passes_is_printed(
        self, pytester: pytest.Pytester
    ) -> None:
        """Guards against an entry that stays after its fix."""
        pytester.makeconftest(CONFTEST.read_text())
        pytester.makepyfile(test_some="def test_listed(): pass")
        known_red = pytester.path / "KNOWN-RED.txt"
        known_red.write_text("test_some.py::test_listed | command | seen | issue 1\n")
        result = pytester.runpytest_inprocess()
        result.assert_outcomes(xpassed=1)
        result.stdout.fnmatch_lines(["known red, xpassed: test_some.py::test_listed*"])
