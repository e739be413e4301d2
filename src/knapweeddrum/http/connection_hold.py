"""What a server connection does, and the bytes that it was granted for it."""

from __future__ import annotations

import anyio

from knapweeddrum.http.connection_room import ConnectionRoom
from knapweeddrum.http.exceptions import NoRoomError
from knapweeddrum.value.connection_phase import ConnectionPhase

ROOM_INTERVAL_SECONDS = 0.05
"""Interval of the questions whether the host has memory for an answer."""


class ConnectionHold:
    """Keeps the phase of one connection and the bytes of its present exchange."""

    def __init__(self, room: ConnectionRoom) -> None:
        self._room = room
        self.taken = 0
        """Bytes that the room granted for the exchange."""
        self.phase = ConnectionPhase.WAITING
        self.is_last = False
        """Whether the connection ends after the present exchange."""
        self.sheddable: anyio.CancelScope | None = None
        """Scope of receiving a body, sending or closing, which may be given up."""

    def enter(self, phase: ConnectionPhase) -> None:
        """Record what the connection does from here on."""
        self.phase = phase
        self._room.enter(phase)

    def try_take(self, count: int) -> bool:
        """Return whether the connection may hold so many bytes more."""
        if not self._room.take(count):
            return False
        self.taken += count
        return True

    def take(self, count: int) -> None:
        """Take bytes for a body that is received; raises NoRoomError."""
        if not self.try_take(count):
            raise NoRoomError(f"no memory, {self.taken} bytes of its body held")

    async def wait_and_take(self, count: int) -> None:
        """Take bytes as soon as the host has memory for them."""
        while not self.try_take(count):
            await anyio.sleep(ROOM_INTERVAL_SECONDS)

    def give_back(self) -> None:
        """Give back what was taken for the exchange."""
        self._room.give_back(self.taken)
        self.taken = 0

    def shed(self) -> bool:
        """Give up what may be given up; return False if nothing can be cancelled.

        A request that is being served is answered.
        """
        self.is_last = True
        if self.phase is ConnectionPhase.SERVED:
            return True
        if self.sheddable is None:
            return False
        self.sheddable.cancel()
        return True
