"""Splitting of event streams, and its limits."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hemlockhall_router.connection.error import ProtocolError
from hemlockhall_router.connection.message import Response, ResponseHead
from hemlockhall_router.request.events import (
    MAX_EMPTY_BYTES,
    MAX_EVENT_BYTES,
    EventSplitter,
    ends_inside_event,
)
from hemlockhall_standins.router.endpoint import event_text

READ_BYTES = 65_536
TEXTS = st.lists(st.sampled_from([b"\n", b"\r\n", b"\r", b"data: a", b"id: 1", b":"]))


def split_reference(data: bytes) -> tuple[list[bytes], bytes]:
    """Return the events and the rest, found one by one from the start."""
    events = []
    while True:
        ends = []
        for ending in (b"\n\n", b"\r\n\r\n"):
            if ending in data:
                ends.append((data.index(ending), data.index(ending) + len(ending)))
        if not ends:
            return events, data
        end = min(ends)[1]
        events.append(data[:end])
        data = data[end:]


class CountingBytes(bytearray):
    """Counts the bytes that searches look at."""

    searched = 0

    def find(self, sub: bytes, start: int = 0) -> int:  # type: ignore[override]
        found = super().find(sub, start)
        CountingBytes.searched += (found if found >= 0 else len(self)) - start
        return found


class TestSplitting:
    @given(TEXTS, st.lists(st.integers(0, 40), max_size=6))
    def test_events_do_not_depend_on_the_pieces(
        self, texts: list[bytes], cuts: list[int]
    ) -> None:
        data = b"".join(texts)
        events, rest = split_reference(data)
        splitter = EventSplitter()
        found = []
        places = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
        for start, end in zip(places, places[1:], strict=False):
            found += [event.raw for event in splitter.feed(data[start:end])]
        assert found == events
        assert splitter.partial == bool(rest.strip())

    @given(TEXTS)
    def test_a_whole_body_ends_inside_an_event_as_its_pieces_do(
        self, texts: list[bytes]
    ) -> None:
        body = b"".join(texts)
        head = ResponseHead(200, b"", [(b"content-type", b"text/event-stream")])
        rest = split_reference(body)[1]
        assert ends_inside_event(Response(head, body)) == bool(rest.strip())

    def test_the_cost_is_linear_in_the_pieces_of_an_event(self) -> None:
        """Guards against a search from the start of an event for each of its pieces:
        128 KiB in pieces of two bytes were searched 65,536 times."""
        splitter = EventSplitter()
        splitter._pending = CountingBytes()
        CountingBytes.searched = 0
        for _ in range(20_000):
            splitter.feed(b"ab")
        assert CountingBytes.searched <= 20_000 * 12

    def test_the_cost_is_linear_in_the_events_of_one_piece(self) -> None:
        """Guards against a search for the other line ends through all of the piece for
        each of its events."""
        splitter = EventSplitter()
        splitter._pending = CountingBytes(b"data: a")
        CountingBytes.searched = 0
        assert len(splitter.feed(b"\n\ndata: a" * 5000)) == 5000
        assert CountingBytes.searched <= 2 * 9 * 5000 + 100


class TestLimits:
    def test_an_event_without_an_end_is_given_up(self) -> None:
        """Guards against an event that fills the memory."""
        splitter = EventSplitter()
        fed = 0
        with pytest.raises(ProtocolError):
            while True:
                splitter.feed(b"data: more\n" * 100)
                fed += 1100
        assert fed <= MAX_EVENT_BYTES + READ_BYTES

    def test_events_before_one_that_is_too_large_are_returned(self) -> None:
        splitter = EventSplitter()
        large = b"data: " + b"x" * (MAX_EVENT_BYTES + 1)
        events = splitter.feed(event_text(1) + large)
        assert [event.id for event in events] == [b"1"]
        with pytest.raises(ProtocolError):
            splitter.feed(b"x")

    def test_a_large_event_is_returned_whole(self) -> None:
        splitter = EventSplitter()
        event = b"data: " + b"x" * (MAX_EVENT_BYTES - 100) + b"\n\n"
        found = []
        for start in range(0, len(event), 1000):
            found += splitter.feed(event[start : start + 1000])
        assert [event.raw for event in found] == [event]

    @pytest.mark.parametrize(
        "empty", [b": no data\n\n", event_text(3), event_text(2), b"id: 9\n\n"]
    )
    def test_events_that_add_nothing_are_given_up(self, empty: bytes) -> None:
        """Guards against comments, or events that the caller has, that are read and
        thrown away at full speed until the deadline."""
        splitter = EventSplitter()
        splitter.feed(event_text(3))
        fed = 0
        with pytest.raises(ProtocolError):
            while True:
                splitter.feed(empty * 100)
                fed += len(empty) * 100
        assert fed <= MAX_EMPTY_BYTES + READ_BYTES

    def test_comments_between_events_are_no_reason(self) -> None:
        splitter = EventSplitter()
        comments = b": still here\n\n" * 10_000
        for number in range(1, 100):
            splitter.feed(comments)
            assert splitter.feed(event_text(number))

    @pytest.mark.parametrize("lines", [b"", b"id: first\n", b"id: %d\n"])
    def test_events_without_an_order_are_no_reason(self, lines: bytes) -> None:
        splitter = EventSplitter()
        count = 0
        for number in range(20_000):
            text = lines % number if b"%" in lines else lines
            count += len(splitter.feed(text + b"data: " + b"x" * 50 + b"\n\n"))
        assert count == 20_000
