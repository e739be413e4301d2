"""Writer of one HTTP response over ASGI."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

from knapweeddrum.process.router.chat_encoder import error_event
from knapweeddrum.process.router.problem import PROBLEM_CONTENT_TYPE, Problem

Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]

JSON_CONTENT_TYPE = "application/json"
EVENT_STREAM_CONTENT_TYPE = "text/event-stream"


class ResponseWriter:
    """Sends either one complete response or a stream of events."""

    def __init__(self, send: Send) -> None:
        self.started = False
        self.request_id = ""
        self._send = send

    async def send_response(
        self,
        status: int,
        content_type: str,
        body: bytes,
        retry_after: int | None = None,
    ) -> None:
        """Send a complete response; ``retry_after`` is in seconds."""
        headers = self._headers(content_type)
        headers.append((b"content-length", str(len(body)).encode()))
        if retry_after is not None:
            headers.append((b"retry-after", str(retry_after).encode()))
        await self._start(status, headers)
        await self._send({"type": "http.response.body", "body": body})

    async def start_events(self) -> None:
        """Start a stream of server-sent events."""
        headers = self._headers(EVENT_STREAM_CONTENT_TYPE)
        headers.append((b"cache-control", b"no-store"))
        await self._start(200, headers)

    async def send_events(self, data: bytes) -> None:
        """Send encoded events."""
        message = {"type": "http.response.body", "body": data, "more_body": True}
        await self._send(message)

    async def end_events(self, data: bytes) -> None:
        """Send the last encoded events and end the stream."""
        await self._send({"type": "http.response.body", "body": data})

    async def send_problem(self, problem: Problem) -> None:
        """Send a problem as the response, or as the last event of a started stream."""
        if self.started:
            await self.end_events(error_event(problem))
            return
        await self.send_response(
            problem.status,
            PROBLEM_CONTENT_TYPE,
            problem.encode(),
            problem.retry_after,
        )

    def _headers(self, content_type: str) -> list[tuple[bytes, bytes]]:
        """Return the headers of every response."""
        headers = [(b"content-type", content_type.encode("latin-1"))]
        if self.request_id:
            headers.append((b"x-request-id", self.request_id.encode()))
        return headers

    async def _start(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        self.started = True
        message = {"type": "http.response.start", "status": status, "headers": headers}
        await self._send(message)
