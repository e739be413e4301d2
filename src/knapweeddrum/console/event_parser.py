"""Parser of server-sent events."""

from __future__ import annotations

from collections.abc import Iterator

from knapweeddrum.console.exceptions import ConsoleError
from knapweeddrum.console.exit_code import ExitCode
from knapweeddrum.console.stream_event import StreamEvent

EVENT_DELIMITER = b"\n\n"

MAX_EVENT_BYTES = 4 * 1024 * 1024
"""Largest event, a snapshot of the whole configuration included."""


class EventParser:
    """Parses chunks of any size; ``last_id`` is the event id to resume after."""

    def __init__(self, last_id: str = "") -> None:
        self.last_id = last_id
        self._buffer = b""

    def feed(self, chunk: bytes) -> Iterator[StreamEvent]:
        """Yield the events that the chunk completes.

        Raises ConsoleError if the next event exceeds MAX_EVENT_BYTES.
        """
        self._buffer += chunk
        *blocks, self._buffer = self._buffer.split(EVENT_DELIMITER)
        for block in blocks:
            event = self._parse(block)
            if event.data:
                yield event
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ConsoleError(
                f"event exceeds {MAX_EVENT_BYTES} bytes", ExitCode.UNAVAILABLE
            )

    def _parse(self, block: bytes) -> StreamEvent:
        """Return the event of a block; one without data only updates ``last_id``."""
        name = "message"
        data = b""
        for line in block.splitlines():
            field, _, value = line.partition(b":")
            value = value.removeprefix(b" ")
            if field == b"event":
                name = value.decode()
            elif field == b"data":
                data += value
            elif field == b"id":
                self.last_id = value.decode()
        return StreamEvent(name, data, self.last_id)
