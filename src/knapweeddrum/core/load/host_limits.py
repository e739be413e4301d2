"""What a host may hold for clients, from what its settings name."""

from __future__ import annotations

import dataclasses

PROCESS_BYTES = 64_000_000
"""Memory of the process itself: 32 to 37 MB idle, more with hundreds of hosts."""

ACCOUNT_FRACTION = 0.5
"""Part of the rest that is counted byte by byte.

The other part is for the kernel's buffers of all connections. Copies, fragmentation and
what is between two reads have to fit into what the process itself leaves.
"""

MIN_ACCOUNT_BYTES = 24_000_000
"""Least account: one request and one answer of 4 MiB, each counted twice."""

BUFFER_BYTES = 32_768
"""Kernel buffer that is asked for, each way; the kernel uses twice that.

With 4 KiB, a single request of 4 MiB was not answered in calm.
"""

SOCKET_BYTES = 2 * BUFFER_BYTES
"""What a connection may fill in the kernel, on average.

Half of the sockets are those of clients, who may fill both ways, twice this.
"""

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
        if sizes_buffers:
            most = int(rest * (1 - ACCOUNT_FRACTION)) // SOCKET_BYTES
            sockets = max(MIN_SOCKETS, min(sockets, most))
        return cls(
            account_bytes=account,
            callers=int(sockets * CALLERS_FRACTION),
            pages=int(sockets * PAGES_FRACTION),
            outgoing=int(sockets * OUTGOING_FRACTION),
            buffer_bytes=BUFFER_BYTES if sizes_buffers else 0,
        )
