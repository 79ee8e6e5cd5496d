"""Datagrams that no host of this version sent."""

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

    def test_another_protocol_is_named(self) -> None:
        with pytest.raises(MessageError, match="update the older host"):
            decode(encode(report(PROTOCOL_VERSION + 1)))

    @pytest.mark.parametrize("address", ["", "10.0.0.1", "10.0.0.1:x", "host:1"])
    def test_an_address_that_is_none_is_refused(self, address: str) -> None:
        """Guards against a datagram whose answer ends the process."""
        with pytest.raises(MessageError, match="no IP number and port"):
            decode(encode(report(address=address)))

    @given(st.binary(max_size=200))
    def test_bytes_that_are_no_message_are_refused(self, data: bytes) -> None:
        """Guards against a datagram that ends the process."""
        with pytest.raises(MessageError):
            decode(data)

    @given(st.integers(min_value=0, max_value=60), st.integers(0, 255))
    def test_a_spoilt_message_is_refused_or_well_formed(
        self, place: int, byte: int
    ) -> None:
        data = bytearray(encode(report()))
        data[place % len(data)] = byte
        try:
            message = decode(bytes(data))
        except MessageError:
            return
        assert isinstance(message, msgspec.Struct)
