"""Frames of a tunnel: what an endpoint sends, and how its connection ended.

A tunnel passes on the bytes of a connection in frames, each a length of four bytes
(big-endian) and so many bytes. Some lengths stand for how the endpoint ended its
connection: in good order, or by a reset. A tunnel that ends without either was cut
between the hosts, or with the host that passes bytes on.
"""

from __future__ import annotations

import struct

MAX_FRAME_BYTES = 1024 * 1024

_LENGTH = struct.Struct(">I")
_END = 0
_RESET = 2**32 - 2
_CLOSING = 2**32 - 1

END_FRAME = _LENGTH.pack(_END)
"""Says that the endpoint ended its connection in good order."""

RESET_FRAME = _LENGTH.pack(_RESET)
"""Says that the connection to the endpoint was reset, or failed otherwise."""

CLOSING_FRAME = _LENGTH.pack(_CLOSING)
"""Says that the host will end the tunnel soon: it is not to be used again."""


class MalformedFrameError(Exception):
    """Bytes are no frame of a tunnel."""


def encode_frame(data: bytes) -> bytes:
    """Return the frame of some bytes, which are not empty."""
    return _LENGTH.pack(len(data)) + data


class FrameDecoder:
    """Decodes frames that arrive in pieces."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self.is_ended = False
        """Whether the endpoint has ended its connection in good order."""
        self.is_reset = False
        """Whether its connection was reset."""
        self.is_closing = False
        """Whether the host will end the tunnel soon."""

    def feed(self, data: bytes) -> bytes:
        """Return what whole frames contain, and keep the rest.

        Raises MalformedFrameError.
        """
        self._buffer += data
        content = bytearray()
        while (frame := self._next_frame()) is not None:
            content += frame
        return bytes(content)

    def _next_frame(self) -> bytes | None:
        if len(self._buffer) < _LENGTH.size:
            return None
        (length,) = _LENGTH.unpack_from(self._buffer)
        if length == _CLOSING:
            # The host may say so after the endpoint's end too.
            self.is_closing = True
            return self._take(b"")
        if self.is_ended or self.is_reset:
            raise MalformedFrameError("a frame after the last one")
        if length in (_END, _RESET):
            self.is_ended = length == _END
            self.is_reset = length == _RESET
            return self._take(b"")
        if length > MAX_FRAME_BYTES:
            raise MalformedFrameError(f"frame of {length} bytes")
        end = _LENGTH.size + length
        if len(self._buffer) < end:
            return None
        return self._take(bytes(self._buffer[_LENGTH.size : end]))

    def _take(self, content: bytes) -> bytes:
        """Remove a frame with some content from the buffer; return the content."""
        del self._buffer[: _LENGTH.size + len(content)]
        return content
