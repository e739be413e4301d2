"""Control of the connections of a stand-in's server."""

from __future__ import annotations

import abc


class ServerControl(abc.ABC):
    """Failures of the server that a stand-in can cause."""

    @abc.abstractmethod
    def cut(self, client: tuple[str, int]) -> None:
        """Close the connection of one peer at once."""

    @abc.abstractmethod
    def crash(self) -> None:
        """Close all connections at once; a stand-in run as a process also exits."""
