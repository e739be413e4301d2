from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from knapweeddrum.endpoint.event_decoder import EventDecoder
from knapweeddrum.endpoint.exceptions import EndpointError
from tests.assertions import raises

STREAM = b":\n\nid: 4\ndata: one\n\ndata:two\r\ndata: three\r\n\r\ndata: unfinished\n"


@given(st.lists(st.integers(0, len(STREAM)), max_size=6))
def test_events_do_not_depend_on_the_chunks(cuts: list[int]):
    """However the stream is split into chunks, the same events are decoded."""
    decoder = EventDecoder()
    bounds = [0, *sorted(cuts), len(STREAM)]
    events = []
    for start, end in zip(bounds, bounds[1:], strict=False):
        events += decoder.feed(STREAM[start:end])
    assert events == [b"one", b"two\nthree"]


def test_event_above_the_limit_is_rejected():
    """Neither one long line nor many short lines may exceed the size limit."""
    with raises(EndpointError):
        EventDecoder(limit=10).feed(b"data: 12345")
    with raises(EndpointError):
        EventDecoder(limit=10).feed(b"data: 1234\n" * 3)
