"""Connections of callers and of clients of pages, with what is held for them."""

from __future__ import annotations

import time
from collections.abc import Callable

from anyio.abc import SocketAttribute, SocketStream

from knapweeddrum.core.load.connection_account import ConnectionAccount
from knapweeddrum.core.load.held_connection import HeldConnection
from knapweeddrum.core.load.host_limits import HostLimits
from knapweeddrum.core.load.memory_account import MemoryAccount
from knapweeddrum.settings.entry_settings import (
    DEFAULT_MAX_DESCRIPTORS,
    DEFAULT_MEMORY_BYTES,
    EntrySettings,
)
from knapweeddrum.value.connection_phase import ConnectionPhase

CONNECTION_BYTES = 32_768
"""Memory of a connection that holds nothing: 17 kB measured, and a request's head."""

DEFAULT_HOST_LIMITS = HostLimits.of(
    DEFAULT_MEMORY_BYTES, DEFAULT_MAX_DESCRIPTORS, sizes_buffers=False
)

RefusalReporter = Callable[[float], None]
ShedReporter = Callable[[HeldConnection, float], None]


def host_limits(settings: EntrySettings) -> HostLimits:
    """Return the bounds that the settings call for."""
    return HostLimits.of(
        settings.memory_bytes,
        settings.max_descriptors,
        sizes_buffers=settings.names_memory,
    )


class ClientConnections:
    """The accounts of this host; ``on_shed`` is told of each that is shed."""

    def __init__(self, limits: HostLimits) -> None:
        self.memory = MemoryAccount(limits.account_bytes)
        self.callers = ConnectionAccount(limits.callers)
        self.pages = ConnectionAccount(limits.pages)
        self.buffer_bytes = limits.buffer_bytes
        self.on_shed: ShedReporter = lambda _conn, _now: None
        self.on_refused: RefusalReporter = lambda _now: None

    def apply(self, limits: HostLimits) -> None:
        """Use other bounds from here on."""
        self.memory.limit = limits.account_bytes
        self.callers.limit = limits.callers
        self.pages.limit = limits.pages
        self.buffer_bytes = limits.buffer_bytes


class ConnectionGate:
    """Admits the connections of one listener to an account."""

    def __init__(
        self, connections: ClientConnections, account: ConnectionAccount
    ) -> None:
        self._connections = connections
        self._account = account

    def admit(self) -> bool:
        """Return whether a connection that was accepted may stay."""
        now = time.monotonic()
        if not self._account.admit(now):
            self._connections.on_refused(now)
            return False
        self._account.opening += 1
        return True

    def leave(self) -> None:
        """Record that the connection has got its handler, or failed."""
        self._account.opening -= 1


class ClientRoom:
    """What one connection may hold; close it when the connection has been closed."""

    def __init__(
        self,
        connections: ClientConnections,
        account: ConnectionAccount,
        stream: SocketStream,
    ) -> None:
        self._connections = connections
        self._account = account
        self._shed: Callable[[], None] = lambda: None
        self.buffer_bytes = connections.buffer_bytes
        self._held = HeldConnection(_name(stream), self._on_shed, time.monotonic())
        account.add(self._held)
        connections.memory.take(self._held, CONNECTION_BYTES, self._held.since)

    def bind(self, shed: Callable[[], None]) -> None:
        """Call ``shed`` when the connection has to end what it does."""
        self._shed = shed

    def enter(self, phase: ConnectionPhase) -> None:
        """Record what the connection does from here on."""
        self._held.enter(phase, time.monotonic())

    def take(self, count: int) -> bool:
        """Return whether the connection may hold so many bytes more."""
        return self._connections.memory.take(self._held, count, time.monotonic())

    def give_back(self, count: int) -> None:
        """Record that the connection has freed so many bytes."""
        self._connections.memory.give_back(self._held, count)

    def close(self) -> None:
        """Free all that the connection held."""
        self._account.remove(self._held)
        self._connections.memory.give_back(self._held, self._held.held)

    def _on_shed(self) -> None:
        self._connections.on_shed(self._held, time.monotonic())
        self._shed()


def _name(stream: SocketStream) -> str:
    local = stream.extra(SocketAttribute.local_port, None)
    remote = stream.extra(SocketAttribute.remote_address, None)
    return f"{remote} to port {local}"
