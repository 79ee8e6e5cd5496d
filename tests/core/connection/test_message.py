"""Tests of the encoding between processes."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hemlockhall_core.connection.error import FrameError
from hemlockhall_core.connection.message import (
    Activations,
    Batch,
    Close,
    decode,
    encode,
)

BATCH = Batch(
    "a", "10.0.0.1:1", 5, 6, 1, 0, 3, "active", 2, False, [Close("r", 1), Close("s", 2)]
)


class TestDecode:
    def test_round_trip(self) -> None:
        assert decode(encode(BATCH)) == BATCH

    def test_truncated(self) -> None:
        with pytest.raises(FrameError, match="not a batch"):
            decode(encode(BATCH)[:-1])

    @given(st.binary(max_size=200))
    def test_hostile_bytes_raise_nothing_else(self, data: bytes) -> None:
        try:
            decoded = decode(data)
        except FrameError:
            return
        assert isinstance(decoded, Batch)

    @given(st.lists(st.binary(max_size=64), max_size=20), st.integers(0, 2**40))
    def test_activations_come_back(self, values: list[bytes], position: int) -> None:
        hop = Activations("r", 1, 4, position, 9, values)
        batch = Batch("a", "10.0.0.1:1", 5, 6, 1, 0, 3, "active", 2, False, [hop])
        assert decode(encode(batch)).messages == [hop]
