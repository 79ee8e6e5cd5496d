"""Bodies of callers that cannot be read."""

from __future__ import annotations

import pytest

from hemlockhalld.request.body import ChatBody, parse_body
from hemlockhalld.request.problem import Problem


class TestParseBody:
    @pytest.mark.parametrize(
        "data",
        [b"", b"{", b"\xff", b"[" * 3000 + b"]" * 3000, b'{"x":' + b"9" * 5000 + b"}"],
    )
    def test_any_is_a_problem_of_the_caller(self, data: bytes) -> None:
        """Guards against a nested body that fails as an internal error."""
        with pytest.raises(Problem):
            parse_body(ChatBody, data)
