"""Index of hosts by the CRC-32 checksums of their incarnations."""

from __future__ import annotations

import zlib

MAX_WANTED = 8
"""Most unknown incarnations requested from a peer in one message."""


class IncarnationIndex:
    """Finds a host by the CRC-32 of its incarnation, and collects unknown ones."""

    def __init__(self) -> None:
        self._hosts: dict[int, str] = {}
        self._wanted: dict[int, None] = {}

    def add(self, incarnation: str, host: str) -> None:
        """Add the incarnation of a host."""
        crc = incarnation_crc(incarnation)
        self._hosts[crc] = host
        self._wanted.pop(crc, None)

    def remove(self, incarnation: str) -> None:
        """Remove an incarnation that was replaced or dropped."""
        self._hosts.pop(incarnation_crc(incarnation), None)

    def host(self, crc: int) -> str | None:
        """Return the host, or None for an unknown incarnation."""
        return self._hosts.get(crc)

    def want(self, crc: int) -> None:
        """Add an unknown incarnation to the next request, up to MAX_WANTED."""
        if len(self._wanted) < MAX_WANTED:
            self._wanted[crc] = None

    def take_wanted(self) -> tuple[int, ...]:
        """Return the unknown incarnations to request, and clear them."""
        wanted = tuple(self._wanted)
        self._wanted.clear()
        return wanted


def incarnation_crc(incarnation: str) -> int:
    """Return the CRC-32 checksum that marks carry instead of the incarnation."""
    return zlib.crc32(incarnation.encode())
