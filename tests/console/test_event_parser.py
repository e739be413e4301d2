from __future__ import annotations

from unittest import TestCase

from knapweeddrum.console.event_parser import MAX_EVENT_BYTES, EventParser
from knapweeddrum.console.exceptions import ConsoleError
from knapweeddrum.console.exit_code import ExitCode

CASE = TestCase()
CHUNK = b"data: " + b"x" * 65_530


def test_event_without_end_is_given_up():
    """The command must not hold all that a broken server sends."""
    parser = EventParser()
    with CASE.assertRaises(ConsoleError) as caught:
        for _ in range(2 * MAX_EVENT_BYTES // len(CHUNK)):
            list(parser.feed(CHUNK))
    assert caught.exception.exit_code is ExitCode.UNAVAILABLE


def test_many_events_in_one_chunk_are_no_event_without_end():
    """The bound holds for what is left after the last whole event."""
    block = b"id: 7\ndata: x\n\n"
    parser = EventParser()
    events = list(parser.feed(block * (MAX_EVENT_BYTES // len(block) + 2)))
    assert len(events) > MAX_EVENT_BYTES // len(block)
    assert parser.last_id == "7"
