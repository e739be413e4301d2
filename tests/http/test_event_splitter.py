from __future__ import annotations

import re
import unittest.mock
from collections.abc import Iterator

from hypothesis import given
from hypothesis import strategies as st

from knapweeddrum.http import event_splitter
from knapweeddrum.http.event_splitter import (
    EVENT_END,
    LONGEST_EVENT_END_BYTES,
    EventSplitter,
)

LINE_ENDS = (b"\n", b"\r\n", b"\r")
LINES = st.sampled_from((b"data: a", b"id: 7", b": comment", b"event: x", b"data"))


def split(pieces: list[bytes]) -> tuple[bytes, EventSplitter]:
    """Return what the pieces complete, and the splitter."""
    splitter = EventSplitter()
    return b"".join(splitter.feed(piece) for piece in pieces), splitter


@given(
    st.lists(st.lists(LINES, min_size=1, max_size=3), max_size=4),
    st.sampled_from(LINE_ENDS),
    st.lists(st.integers(0, 120), max_size=6),
)
def test_events_are_the_same_wherever_the_stream_is_divided(events, line_end, cuts):
    """Each kind of line end marks the end of an event; nothing is lost."""
    body = b"".join(line_end.join([*lines, b"", b""]) for lines in events)
    bounds = sorted({0, len(body), *(cut for cut in cuts if cut < len(body))})
    pieces = [body[start:end] for start, end in zip(bounds, bounds[1:], strict=False)]
    forwarded, splitter = split(pieces)
    assert forwarded + splitter.rest == body
    assert not splitter.is_inside_event
    expected = sum(any(not line.startswith(b":") for line in lines) for lines in events)
    assert splitter.event_count == expected


def test_mixed_line_ends_and_byte_order_mark_are_understood():
    """The identifier of the last event is found in each notation."""
    forwarded, splitter = split([b"\xef\xbb\xbfid: 1\r", b"\ndata: a\r\n\r", b"\nid"])
    assert splitter.last_id == "1"
    assert splitter.event_count == 1
    assert splitter.is_inside_event
    forwarded, splitter = split([b"id: 2\rdata: b\r\r", b"id: 3\ndata: c\n\r\n"])
    assert (splitter.last_id, splitter.event_count) == ("3", 2)
    assert not splitter.is_inside_event


def test_identifier_of_an_unfinished_event_does_not_count():
    """A stream is resumed after the last complete event."""
    _, splitter = split([b"id: 1\ndata: a\n\nid: 2\ndata: b\n"])
    assert splitter.last_id == "1"
    assert splitter.is_inside_event


def test_event_that_comes_byte_by_byte_is_not_searched_again_and_again():
    """The work is linear in the size of the event."""
    searched = 0

    class CountingPattern:
        def finditer(self, data: bytearray, start: int) -> Iterator[re.Match[bytes]]:
            nonlocal searched
            searched += len(data) - start
            return EVENT_END.finditer(data, start)

    size = 10_000
    with unittest.mock.patch.object(event_splitter, "EVENT_END", CountingPattern()):
        split([b"x"] * size)
    assert searched <= size * (LONGEST_EVENT_END_BYTES + 1)
