"""A connection to an endpoint through another host."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

import anyio
from anyio.abc import ByteStream

from knapweeddrum.http.tunnel_frames import FrameDecoder, MalformedFrameError


class TunnelCutError(anyio.BrokenResourceError):
    """A tunnel ended, and not because the endpoint ended its connection."""


class TunnelStream(ByteStream):
    """Sends bytes as they are and receives them in frames.

    ``received`` is what arrived with the answer that opened the tunnel.
    """

    def __init__(self, stream: ByteStream, received: bytes = b"") -> None:
        self._stream = stream
        self._decoder = FrameDecoder()
        self._unread = bytearray()
        self._decode(received)

    @property
    def has_unread(self) -> bool:
        """Return whether anything follows what was received last."""
        decoder = self._decoder
        is_over = decoder.is_ended or decoder.is_reset or decoder.is_closing
        return bool(self._unread) or is_over

    async def receive(self, max_bytes: int = 65_536) -> bytes:
        """Return bytes of the endpoint.

        Raises EndOfStream if it ended the connection in good order,
        BrokenResourceError if that was reset, and TunnelCutError if the tunnel was cut.
        """
        while not self._unread:
            if self._decoder.is_ended:
                raise anyio.EndOfStream
            if self._decoder.is_reset:
                raise anyio.BrokenResourceError("reset by the endpoint")
            try:
                self._decode(await self._stream.receive(max_bytes))
            except (anyio.EndOfStream, anyio.BrokenResourceError) as exc:
                raise TunnelCutError(f"tunnel was cut: {exc!r}") from exc
        data = bytes(self._unread[:max_bytes])
        del self._unread[:max_bytes]
        return data

    async def send(self, item: bytes) -> None:
        """Send bytes to the endpoint."""
        await self._stream.send(item)

    async def send_eof(self) -> None:
        """End what is sent."""
        await self._stream.send_eof()

    async def aclose(self) -> None:
        """Close the tunnel, and with it the connection to the endpoint."""
        await self._stream.aclose()

    @property
    def extra_attributes(self) -> Mapping[Any, Callable[[], Any]]:
        """Return the attributes of the connection to the other host."""
        return self._stream.extra_attributes

    def _decode(self, data: bytes) -> None:
        try:
            self._unread += self._decoder.feed(data)
        except MalformedFrameError as exc:
            raise TunnelCutError(str(exc)) from exc
