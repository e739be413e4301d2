"""What a host may hold for clients, from what its settings name."""

from __future__ import annotations

import dataclasses

PROCESS_BYTES = 64_000_000
"""Memory of the process itself: 32 to 37 MB idle, more with hundreds of hosts."""

ACCOUNT_FRACTION = 0.5
"""Part of the rest that is counted byte by byte.

The other part is for copies, fragmentation, what is between two reads, and the kernel.
"""

MIN_ACCOUNT_BYTES = 24_000_000
"""Least account: one request and one answer of 4 MiB, each counted twice."""

BUFFERS_FRACTION = 0.25
"""Part of the rest that the kernel's buffers of all connections may fill."""

MAX_BUFFER_BYTES = 32_768
"""Largest kernel buffer that is asked for; the kernel uses twice that."""

MIN_BUFFER_BYTES = 4_096
KERNEL_BUFFERS = 4
"""Two buffers for each connection, of twice the size that is asked for."""

FILE_DESCRIPTORS = 200
OWN_DESCRIPTORS = 16
"""Descriptors of listeners, the event loop and standard streams."""

CALLERS_FRACTION = 0.35
PAGES_FRACTION = 0.15
OUTGOING_FRACTION = 0.5
MIN_SOCKETS = 40
"""Sockets below which a host could not serve at all."""


@dataclasses.dataclass(frozen=True, slots=True)
class HostLimits:
    """Bounds for memory in bytes and for connections."""

    account_bytes: int
    callers: int
    pages: int
    outgoing: int
    buffer_bytes: int
    """Size to ask the kernel for as buffer of a connection, 0 for its own choice."""

    @classmethod
    def of(
        cls, memory_bytes: int, max_descriptors: int, *, sizes_buffers: bool
    ) -> HostLimits:
        """Return the bounds of a host of so much memory and so many descriptors."""
        sockets = max(MIN_SOCKETS, max_descriptors - FILE_DESCRIPTORS - OWN_DESCRIPTORS)
        rest = max(0, memory_bytes - PROCESS_BYTES)
        account = max(MIN_ACCOUNT_BYTES, int(rest * ACCOUNT_FRACTION))
        buffer = int(rest * BUFFERS_FRACTION) // (sockets * KERNEL_BUFFERS)
        buffer = max(MIN_BUFFER_BYTES, min(MAX_BUFFER_BYTES, buffer))
        return cls(
            account_bytes=account,
            callers=int(sockets * CALLERS_FRACTION),
            pages=int(sockets * PAGES_FRACTION),
            outgoing=int(sockets * OUTGOING_FRACTION),
            buffer_bytes=buffer if sizes_buffers else 0,
        )
