"""Asks endpoints whether they still run."""

from __future__ import annotations

import anyio

from knapweeddrum.core.catalog.endpoint_entry import EndpointEntry
from knapweeddrum.core.routing.life_sign import LifeSign
from knapweeddrum.http.client_connection import ClientConnection
from knapweeddrum.http.exceptions import ExchangeError, NotSentError, PeerRefusedError
from knapweeddrum.platform.start_report import REPORT_TARGET
from knapweeddrum.process.entry.endpoint_connector import (
    PROBE_TIMEOUT_SECONDS,
    EndpointConnector,
)

REPLY_TIMEOUT_SECONDS = 0.25


async def ask_life_sign(
    connector: EndpointConnector, entry: EndpointEntry, *, by_report: bool
) -> LifeSign:
    """Connect to an endpoint and return what became of it.

    With ``by_report`` the endpoint is asked for a report.
    """
    try:
        conn = await connector.connect(entry, PROBE_TIMEOUT_SECONDS)
    except PeerRefusedError:
        return LifeSign.REFUSED
    except NotSentError:
        return LifeSign.UNREACHED
    try:
        return (
            await _reply_sign(entry.address, conn) if by_report else LifeSign.ACCEPTED
        )
    finally:
        with anyio.CancelScope(shield=True):
            await conn.close()


async def _reply_sign(address: str, conn: ClientConnection) -> LifeSign:
    headers = [(b"Host", address.encode())]
    try:
        with anyio.move_on_after(REPLY_TIMEOUT_SECONDS):
            async with conn.exchange(b"GET", REPORT_TARGET, headers, b""):
                return LifeSign.REPLIED
    except ExchangeError:
        return LifeSign.ACCEPTED
    return LifeSign.KEPT_OPEN
