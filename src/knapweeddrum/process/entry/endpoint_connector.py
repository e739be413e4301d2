"""Opens connections to endpoints."""

from __future__ import annotations

import abc
from collections.abc import Callable

from knapweeddrum.core.catalog.endpoint_entry import EndpointEntry
from knapweeddrum.http.client_connection import ClientConnection
from knapweeddrum.http.exceptions import NotSentError, PeerRefusedError
from knapweeddrum.value.probe_result import ProbeResult

PROBE_TIMEOUT_SECONDS = 0.25


class EndpointConnector(abc.ABC):
    """Opens a connection to an endpoint, by whichever way leads there."""

    @abc.abstractmethod
    async def connect(self, entry: EndpointEntry, timeout: float) -> ClientConnection:
        """Connect within ``timeout`` seconds.

        Raises PeerRefusedError if nothing listens there, or another NotSentError.
        """

    async def probe(self, entry: EndpointEntry) -> ProbeResult | None:
        """Connect, close the connection and return what became of it.

        None if that would tell nothing of the endpoint.
        """
        try:
            conn = await self.connect(entry, PROBE_TIMEOUT_SECONDS)
        except NotSentError as exc:
            return failed_result(exc)
        await conn.close()
        return ProbeResult.CONNECTED

    async def confirm_failure(self, entry: EndpointEntry) -> bool:
        """Return whether an endpoint that can't be reached is out of all reach."""
        return True


class DirectConnector(EndpointConnector):
    """Connects from this host; ``on_receive`` is told the size of each receive."""

    def __init__(self, on_receive: Callable[[int], None] = lambda _: None) -> None:
        self._on_receive = on_receive

    async def connect(self, entry: EndpointEntry, timeout: float) -> ClientConnection:
        """Connect to the address of the entry."""
        return await ClientConnection.connect(entry.address, timeout, self._on_receive)


def failed_result(exc: NotSentError) -> ProbeResult:
    """Return the result of a connection that failed with an error."""
    if isinstance(exc, PeerRefusedError):
        return ProbeResult.REFUSED
    return ProbeResult.UNANSWERED
