"""What this host holds for one client's connection."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from knapweeddrum.value.connection_phase import ConnectionPhase

STALL_SECONDS = 1.0
"""Time without progress after which a peer counts as slow.

Ordinary peers take or send something within a round trip, well below a second.
"""


@dataclasses.dataclass(slots=True, eq=False)
class HeldConnection:
    """An open connection; times are in monotonic seconds."""

    name: str
    """Local and peer address, for the log."""
    shed: Callable[[], None]
    """Ends what the connection does; its bytes are freed soon after."""
    since: float
    """Start of the present phase."""
    phase: ConnectionPhase = ConnectionPhase.WAITING
    held: int = 0
    """Bytes that were granted."""
    has_had_request: bool = False
    served_in_row: int = 0
    """Requests since the connection last waited: above one, it sends ahead."""
    is_shed: bool = False
    """Whether it was shed for its bytes; it gets no more."""
    is_ended: bool = False
    """Whether it was ended for its descriptor."""

    def enter(self, phase: ConnectionPhase, now: float) -> None:
        """Record the beginning of a phase; sending begins anew with each write."""
        if phase is ConnectionPhase.SERVED and self.phase is ConnectionPhase.RECEIVING:
            self.has_had_request = True
            self.served_in_row += 1
        elif phase is ConnectionPhase.WAITING:
            self.served_in_row = 0
        if phase is not self.phase or phase is ConnectionPhase.SENDING:
            self.phase = phase
            self.since = now

    def is_stalled(self, now: float) -> bool:
        """Return whether the peer is slow to take what was written."""
        is_sending = self.phase is ConnectionPhase.SENDING
        return is_sending and now - self.since >= STALL_SECONDS
