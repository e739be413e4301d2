"""Splits a byte stream of server-sent events into complete events."""

from __future__ import annotations

END = b"\n\n"
ID = b"id:"


class EventSplitter:
    """Returns complete events only; ``last_id`` is the identifier of the last one."""

    def __init__(self) -> None:
        self.last_id = ""
        self.event_count = 0
        """Complete events so far."""
        self._rest = b""

    @property
    def incomplete_event(self) -> bytes:
        """Return the bytes of an incomplete event at the end of the stream."""
        return self._rest

    def feed(self, data: bytes) -> bytes:
        """Return the bytes of the events that ``data`` completes."""
        buffered = self._rest + data
        end = buffered.rfind(END)
        if end < 0:
            self._rest = buffered
            return b""
        whole = buffered[: end + len(END)]
        self._rest = buffered[end + len(END) :]
        self.event_count += whole.count(END)
        self._note_id(whole)
        return whole

    def reset(self) -> None:
        """Discard an incomplete event before the stream is resumed."""
        self._rest = b""

    def _note_id(self, whole: bytes) -> None:
        for line in reversed(whole.split(b"\n")):
            if line.startswith(ID):
                self.last_id = line[len(ID) :].strip().decode("latin-1")
                return
