"""Tests of the encoding of batches."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from hemlockhall_core.connection.error import BatchDecodeError
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

    def test_a_truncated_batch_raises(self) -> None:
        with pytest.raises(BatchDecodeError, match="not a batch"):
            decode(encode(BATCH)[:-1])

    def test_a_nested_batch_raises_only_a_decode_error(self) -> None:
        """Guards against a batch whose nested values end the process."""
        nested = msgspec.Raw(b"\x91" * 3000 + b"\x90")
        raw = msgspec.msgpack.decode(encode(BATCH))
        raw = {**raw, "unknown": nested} if isinstance(raw, dict) else [*raw, nested]
        with pytest.raises(BatchDecodeError, match="RecursionError"):
            decode(msgspec.msgpack.encode(raw))

    @given(st.binary(max_size=200))
    def test_random_bytes_raise_only_a_decode_error(self, data: bytes) -> None:
        try:
            decoded = decode(data)
        except BatchDecodeError:
            return
        assert isinstance(decoded, Batch)

    @given(st.lists(st.binary(max_size=64), max_size=20), st.integers(0, 2**40))
    def test_activations_round_trip(self, values: list[bytes], position: int) -> None:
        activations = Activations("r", 1, 4, position, 9, values)
        batch = Batch(
            "a", "10.0.0.1:1", 5, 6, 1, 0, 3, "active", 2, False, [activations]
        )
        assert decode(encode(batch)).messages == [activations]
