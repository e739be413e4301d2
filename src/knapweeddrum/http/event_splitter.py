"""Splits a byte stream of server-sent events into complete events."""

from __future__ import annotations

import re
from collections.abc import Iterable

from knapweeddrum.http.exceptions import EndlessReplyError

MAX_EVENT_BYTES = 65_536
STANDARD_FIELDS = frozenset({b"data", b"event", b"id", b"retry"})
BYTE_ORDER_MARK = b"\xef\xbb\xbf"
LINE_END = re.compile(rb"\r\n|\n|\r")
EVENT_END = re.compile(rb"(?:\r\n|\n|\r(?!\n)){2}")
LONGEST_EVENT_END_BYTES = 4


class EventSplitter:
    """Returns complete events only; ``last_id`` is the identifier of the last one.

    Lines may end with LF, CR LF or CR.
    """

    def __init__(self) -> None:
        self.last_id = ""
        self.event_count = 0
        """Complete events so far; a comment is none."""
        self._rest = bytearray()
        self._searched_bytes = 0
        """Bytes of the rest that are known to contain no end of an event."""

    @property
    def rest(self) -> bytes:
        """Return the bytes after the last complete event."""
        return bytes(self._rest)

    @property
    def rest_bytes(self) -> int:
        """Return the number of bytes after the last complete event."""
        return len(self._rest)

    @property
    def is_inside_event(self) -> bool:
        """Return whether an event has begun and not ended.

        Comments and line ends between two events belong to neither.
        """
        return _has_field(_lines(self._rest))

    @property
    def has_standard_field(self) -> bool:
        """Return whether any event, complete or not, has a field of the standard."""
        return self.event_count > 0 or any(
            line.partition(b":")[0] in STANDARD_FIELDS for line in _lines(self._rest)
        )

    def feed(self, data: bytes) -> bytes:
        """Return the bytes of the events that ``data`` completes.

        Raises EndlessReplyError if an event exceeds MAX_EVENT_BYTES.
        """
        self._rest += data
        end = self._last_event_end()
        events = bytes(self._rest[:end])
        del self._rest[:end]
        self._searched_bytes = max(0, len(self._rest) - LONGEST_EVENT_END_BYTES)
        if len(self._rest) > MAX_EVENT_BYTES:
            raise EndlessReplyError(f"event exceeds {MAX_EVENT_BYTES} bytes")
        if events:
            self._record(events)
        return events

    def reset(self) -> None:
        """Discard an incomplete event before the stream is resumed."""
        self._rest.clear()
        self._searched_bytes = 0

    def _last_event_end(self) -> int:
        end = 0
        for match in EVENT_END.finditer(self._rest, self._searched_bytes):
            end = match.end()
        return end

    def _record(self, events: bytes) -> None:
        for event in EVENT_END.split(events):
            lines = _lines(event)
            self.event_count += _has_field(lines)
            for line in lines:
                name, _, value = line.partition(b":")
                if name == b"id":
                    self.last_id = value.strip().decode("latin-1")


def _lines(data: bytes | bytearray) -> list[bytes]:
    return LINE_END.split(bytes(data).removeprefix(BYTE_ORDER_MARK))


def _has_field(lines: Iterable[bytes]) -> bool:
    return any(line and not line.startswith(b":") for line in lines)
