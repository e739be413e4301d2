"""Hosts by the short names of their incarnations."""

from __future__ import annotations

import zlib

MAX_WANTED = 8
"""Unknown incarnations that are asked for in one message."""


class IncarnationIndex:
    """Finds a host by the CRC-32 of its incarnation, and remembers unknown ones."""

    def __init__(self) -> None:
        self._hosts: dict[int, str] = {}
        self._wanted: dict[int, None] = {}

    def add(self, incarnation: str, host: str) -> None:
        """Add the incarnation of a host."""
        crc = incarnation_crc(incarnation)
        self._hosts[crc] = host
        self._wanted.pop(crc, None)

    def remove(self, incarnation: str) -> None:
        """Remove an incarnation that was replaced or forgotten."""
        self._hosts.pop(incarnation_crc(incarnation), None)

    def host(self, crc: int) -> str | None:
        """Return the host, or None for an unknown incarnation."""
        return self._hosts.get(crc)

    def want(self, crc: int) -> None:
        """Remember an unknown incarnation, unless there are enough."""
        if len(self._wanted) < MAX_WANTED:
            self._wanted[crc] = None

    def take_wanted(self) -> tuple[int, ...]:
        """Return the unknown incarnations to ask a peer for, once."""
        wanted = tuple(self._wanted)
        self._wanted.clear()
        return wanted


def incarnation_crc(incarnation: str) -> int:
    """Return the short name of an incarnation."""
    return zlib.crc32(incarnation.encode())
