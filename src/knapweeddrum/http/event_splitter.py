"""Splits a byte stream of server-sent events into complete events."""

from __future__ import annotations

EVENT_END = b"\n\n"
ID_FIELD = b"id:"


class EventSplitter:
    """Returns complete events only; ``last_id`` is the identifier of the last one."""

    def __init__(self) -> None:
        self.last_id = ""
        self.event_count = 0
        """Complete events so far."""
        self._incomplete = b""

    @property
    def incomplete_event(self) -> bytes:
        """Return the bytes of an incomplete event at the end of the stream."""
        return self._incomplete

    def feed(self, data: bytes) -> bytes:
        """Return the bytes of the events that ``data`` completes."""
        buffered = self._incomplete + data
        end = buffered.rfind(EVENT_END)
        if end < 0:
            self._incomplete = buffered
            return b""
        events = buffered[: end + len(EVENT_END)]
        self._incomplete = buffered[end + len(EVENT_END) :]
        self.event_count += events.count(EVENT_END)
        self._update_last_id(events)
        return events

    def reset(self) -> None:
        """Discard an incomplete event before the stream is resumed."""
        self._incomplete = b""

    def _update_last_id(self, events: bytes) -> None:
        for line in reversed(events.split(b"\n")):
            if line.startswith(ID_FIELD):
                self.last_id = line[len(ID_FIELD) :].strip().decode("latin-1")
                return
