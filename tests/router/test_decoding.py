"""Errors, numbers and addresses in what other processes wrote."""

from __future__ import annotations

import socket

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hemlockhall_router.connection.decoding import (
    MAX_INTEGER,
    DecodeError,
    _parse_short_address,
    decode_number,
    decoding,
    parse_address,
)
from hemlockhall_standins.foreign import NUMBERS, TEXTS


class TestDecoding:
    def test_any_error_is_a_decode_error(self) -> None:
        """Guards against errors that a decoder is not known to raise."""
        for error in (RecursionError(), ValueError("x" * 9999), OverflowError()):
            with pytest.raises(DecodeError, match="malformed row") as caught:
                with decoding("row"):
                    raise error
            assert len(str(caught.value)) < 300

    @given(st.sampled_from(NUMBERS) | st.text(max_size=9))
    def test_numbers_are_read_within_their_range(self, text: str) -> None:
        number = decode_number(text.encode())
        assert number is None or 0 <= number <= MAX_INTEGER
        if text.isascii() and text.isdigit() and len(text) < 16:
            assert number == int(text)

    @given(st.sampled_from(TEXTS) | st.text(max_size=20))
    def test_addresses_are_read_or_not(self, text: str) -> None:
        """Guards against an address that fails where it is used."""
        found = parse_address(text)
        if found is not None:
            host, port = found
            assert socket.inet_aton(host) and 0 < port < 65_536

    def test_a_long_one_is_not_kept(self) -> None:
        """Guards against addresses of another writer that fill the memory."""
        before = _parse_short_address.cache_info().currsize
        assert parse_address("1" * 60_000 + ":80") is None
        assert _parse_short_address.cache_info().currsize == before

    def test_an_address_is_read(self) -> None:
        assert parse_address("255.255.255.255:65535") == ("255.255.255.255", 65_535)
        assert parse_address("10.1.2.3:8080") == ("10.1.2.3", 8080)
