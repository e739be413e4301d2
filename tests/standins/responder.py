"""Sending the reply of a stand-in, or closing the connection instead."""

from __future__ import annotations

import msgspec

from tests.standins.asgi import Send
from tests.standins.server_fault_injector import ServerFaultInjector

Headers = tuple[tuple[str, str], ...]


class Responder:
    """Sends the reply to one request."""

    def __init__(
        self, send: Send, fault_injector: ServerFaultInjector, client: tuple[str, int]
    ) -> None:
        self._send = send
        self._fault_injector = fault_injector
        self._client = client

    async def json(self, status: int, value: object, headers: Headers = ()) -> None:
        """Send a complete JSON reply."""
        body = msgspec.json.encode(value)
        await self._start(status, "application/json", headers)
        await self._send({"type": "http.response.body", "body": body})

    async def error(
        self, status: int, detail: str, retry_after: float | None = None
    ) -> None:
        """Send an error reply; ``retry_after`` is in seconds."""
        headers = () if retry_after is None else (("Retry-After", str(retry_after)),)
        await self.json(status, {"detail": detail}, headers)

    async def start_events(self) -> None:
        """Start a stream of server-sent events."""
        await self._start(200, "text/event-stream", ())

    async def event(self, data: bytes) -> None:
        """Send an event; ``data`` must not contain a line break."""
        await self._send_chunk(b"data: " + data + b"\n\n")

    async def comment(self) -> None:
        """Send a comment, which keeps an idle stream alive."""
        await self._send_chunk(b":\n\n")

    async def end(self) -> None:
        """End the stream."""
        await self._send({"type": "http.response.body", "body": b""})

    def cut(self) -> None:
        """Close the connection without a reply or the rest of it."""
        self._fault_injector.cut(self._client)

    async def _start(self, status: int, content_type: str, headers: Headers) -> None:
        all_headers = (("Content-Type", content_type), *headers)
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [
                    (name.encode("latin-1"), value.encode("latin-1"))
                    for name, value in all_headers
                ],
            }
        )

    async def _send_chunk(self, body: bytes) -> None:
        await self._send(
            {"type": "http.response.body", "body": body, "more_body": True}
        )
