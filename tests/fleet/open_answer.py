"""A streamed answer that the caller has not read to its end."""

from __future__ import annotations

from collections.abc import Iterator

import httpcore

from tests.fleet.fleet_answer import FleetAnswer


class OpenAnswer:
    """Reads some server-sent events of an answer, or all of it."""

    def __init__(self, response: httpcore.Response) -> None:
        self._response = response
        self._chunks: Iterator[bytes] = response.iter_stream()
        self._body = b""
        self._cut = False

    def read_events(self, count: int) -> FleetAnswer:
        """Read until ``count`` events have arrived or the answer has ended."""
        while self._body.count(b"\n\n") < count and self._read_chunk():
            pass
        return self._answer()

    def read_all(self) -> FleetAnswer:
        """Read to the end of the answer, or until the connection fails."""
        while self._read_chunk():
            pass
        return self._answer()

    def _read_chunk(self) -> bool:
        try:
            chunk = next(self._chunks, None)
        except (httpcore.ProtocolError, httpcore.NetworkError):
            self._cut = True
            return False
        self._body += chunk or b""
        return chunk is not None

    def _answer(self) -> FleetAnswer:
        headers = {
            name.decode().lower(): value.decode()
            for name, value in self._response.headers
        }
        return FleetAnswer(self._response.status, headers, self._body, self._cut)
