"""Fault injection into a uvicorn server."""

from __future__ import annotations

import os

import uvicorn

from tests.standins.server_fault_injector import ServerFaultInjector

CRASH_EXIT_CODE = 70


class UvicornFaultInjector(ServerFaultInjector):
    """Closes connections without a graceful end; with ``exits`` a crash also exits."""

    def __init__(self, server: uvicorn.Server, *, exits: bool) -> None:
        self._server = server
        self._exits = exits

    def cut(self, client: tuple[str, int]) -> None:
        """Close the connection of one peer at once."""
        for protocol in list(self._server.server_state.connections):
            if getattr(protocol, "client", None) == client:
                protocol.transport.abort()

    def cut_all(self) -> None:
        """Close all connections at once."""
        for protocol in list(self._server.server_state.connections):
            protocol.transport.abort()

    def crash(self) -> None:
        """Close all connections, or end the process when ``exits`` is set."""
        if self._exits:
            os._exit(CRASH_EXIT_CODE)
        self.cut_all()
