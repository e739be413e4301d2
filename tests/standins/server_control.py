"""Control of the connections of a stand-in's server."""

from __future__ import annotations

import abc


class ServerControl(abc.ABC):
    """What a stand-in can do to its server, to bring about a failure."""

    @abc.abstractmethod
    def cut(self, client: tuple[str, int]) -> None:
        """Close the connection of one peer at once."""

    @abc.abstractmethod
    def crash(self) -> None:
        """Close all connections at once; a process of its own exits."""
