"""An HTTP reply whose body is still being received."""

from __future__ import annotations

from collections.abc import AsyncGenerator

import httpcore

from knapweeddrum.http.exceptions import NoReplyError
from knapweeddrum.http.reply_head import ReplyHead
from knapweeddrum.http.transport_errors import TRANSPORT_ERRORS


class StreamedReply:
    """Status and headers of a reply, and its body as it arrives."""

    def __init__(self, response: httpcore.Response) -> None:
        self._response = response
        self.head = ReplyHead(
            status=response.status,
            headers=tuple(
                (name.decode("latin-1").lower(), value.decode("latin-1"))
                for name, value in response.headers
            ),
        )

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        """Iterate over the chunks of the body; raises NoReplyError if it is cut off."""
        try:
            async for chunk in self._response.aiter_stream():
                yield chunk
        except TRANSPORT_ERRORS as exc:
            raise NoReplyError(f"reply body cut off: {exc!r}") from exc

    async def read(self, limit: int) -> bytes:
        """Return the complete body; raises NoReplyError above ``limit`` bytes."""
        body = bytearray()
        async for chunk in self.chunks():
            body += chunk
            if len(body) > limit:
                raise NoReplyError(f"body exceeds {limit} bytes")
        return bytes(body)
