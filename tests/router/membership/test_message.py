"""Decoding of valid and malformed datagrams, and of another protocol version."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from hemlockhall_router.membership.message import (
    PROTOCOL_VERSION,
    Contact,
    MessageError,
    Report,
    decode,
    encode,
)


def report(protocol: int = PROTOCOL_VERSION, address: str = "10.0.0.1:1") -> Report:
    return Report(
        protocol=protocol,
        sender=Contact("host-1", address, "here", 1, "1"),
        table_versions=[],
        loads=[],
        down=[],
        presumed_draining=[],
        layer_updates=[],
        contacts=[],
        fence=0,
        store_stable=True,
    )


class TestDecode:
    def test_a_message_arrives_as_sent(self) -> None:
        assert decode(encode(report())) == report()

    def test_another_protocol_version_names_the_fix(self) -> None:
        with pytest.raises(MessageError, match="update the older host"):
            decode(encode(report(PROTOCOL_VERSION + 1)))

    @pytest.mark.parametrize("address", ["", "10.0.0.1", "10.0.0.1:x", "host:1"])
    def test_an_invalid_address_is_rejected(self, address: str) -> None:
        """Guards against a reply to an invalid address, which ends the process."""
        with pytest.raises(MessageError, match="not an IPv4 address and port"):
            decode(encode(report(address=address)))

    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_are_rejected(self, data: bytes) -> None:
        """Guards against an unhandled exception that ends the process."""
        with pytest.raises(MessageError):
            decode(data)

    @given(st.integers(min_value=0, max_value=60), st.integers(0, 255))
    def test_a_corrupt_message_is_rejected_or_decoded(
        self, position: int, byte: int
    ) -> None:
        data = bytearray(encode(report()))
        data[position % len(data)] = byte
        try:
            message = decode(bytes(data))
        except MessageError:
            return
        assert isinstance(message, msgspec.Struct)
