"""Incremental decoder of server-sent events."""

from __future__ import annotations

from knapweeddrum.endpoint.exceptions import EndpointError

EVENT_LIMIT_BYTES = 64 * 1024
"""Largest event that an endpoint may send."""

DATA_FIELD = b"data:"


class EventDecoder:
    """Turns chunks of a body into the data of complete events.

    Only the field ``data`` is used; comments and other fields are dropped. An event
    that is incomplete at the end of the stream is never returned.
    """

    def __init__(self, limit: int = EVENT_LIMIT_BYTES) -> None:
        self._limit = limit
        self._partial_line = b""
        self._data: list[bytes] = []
        self._data_bytes = 0

    def feed(self, chunk: bytes) -> list[bytes]:
        """Return the data of the events that end in ``chunk``.

        Raises EndpointError for an event above the size limit.
        """
        *lines, self._partial_line = (self._partial_line + chunk).split(b"\n")
        events = []
        for line in lines:
            event = self._add_line(line.removesuffix(b"\r"))
            if event is not None:
                events.append(event)
        self._check_size(len(self._partial_line))
        return events

    def _add_line(self, line: bytes) -> bytes | None:
        if not line:
            return self._finish_event()
        if line.startswith(DATA_FIELD):
            data = line.removeprefix(DATA_FIELD).removeprefix(b" ")
            self._check_size(len(data))
            self._data.append(data)
            self._data_bytes += len(data)
        return None

    def _finish_event(self) -> bytes | None:
        if not self._data:
            return None
        event = b"\n".join(self._data)
        self._data = []
        self._data_bytes = 0
        return event

    def _check_size(self, extra_bytes: int) -> None:
        if self._data_bytes + extra_bytes > self._limit:
            raise EndpointError(f"event exceeds {self._limit} bytes")
