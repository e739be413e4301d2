"""How a server connection asks for the bytes that it holds."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from knapweeddrum.value.connection_phase import ConnectionPhase


class ConnectionRoom(Protocol):
    """What one connection may hold."""

    buffer_bytes: int
    """Size of the kernel's buffers to ask for, 0 for its own choice."""

    def bind(self, shed: Callable[[], None]) -> None:
        """Call ``shed`` when the connection has to end what it does."""

    def enter(self, phase: ConnectionPhase) -> None:
        """Record what the connection does from here on."""

    def take(self, count: int) -> bool:
        """Return whether the connection may hold so many bytes more."""

    def give_back(self, count: int) -> None:
        """Record that the connection has freed so many bytes."""


class UnlimitedRoom:
    """Grants everything, for connections that no account covers."""

    buffer_bytes = 0

    def bind(self, shed: Callable[[], None]) -> None:
        """Ignore the callback: nothing is shed."""

    def enter(self, phase: ConnectionPhase) -> None:
        """Ignore the phase."""

    def take(self, count: int) -> bool:
        """Grant the bytes."""
        return True

    def give_back(self, count: int) -> None:
        """Ignore the bytes."""
