"""Interface with which a stand-in injects faults into its own server."""

from __future__ import annotations

import abc


class ServerFaultInjector(abc.ABC):
    """Closes connections of the server that runs a stand-in, or crashes the server."""

    @abc.abstractmethod
    def cut(self, client: tuple[str, int]) -> None:
        """Close the connection of one peer at once."""

    @abc.abstractmethod
    def crash(self) -> None:
        """Close all connections at once; a stand-in run as a process also exits."""
