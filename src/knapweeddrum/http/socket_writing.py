"""Writing to sockets without copying whole bodies into the transport's buffer."""

from __future__ import annotations

from collections.abc import Iterator

MAX_WRITE_BYTES = 65_536
"""Bytes that are handed to the transport before the peer has taken them."""


def write_slices(parts: list[bytes]) -> Iterator[bytes]:
    """Yield what to write at a time: all parts together, or parts of large ones."""
    if sum(map(len, parts)) <= MAX_WRITE_BYTES:
        yield b"".join(parts)
        return
    for part in parts:
        for start in range(0, len(part), MAX_WRITE_BYTES):
            yield part[start : start + MAX_WRITE_BYTES]
