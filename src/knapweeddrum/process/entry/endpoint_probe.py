"""Probes whether an endpoint accepts connections, and whether it still runs."""

from __future__ import annotations

import anyio

from knapweeddrum.core.admission.crash_evidence import ProbeResult
from knapweeddrum.core.routing.life_sign import LifeSign
from knapweeddrum.http.client_connection import ClientConnection
from knapweeddrum.http.exceptions import ExchangeError, NotSentError, PeerRefusedError
from knapweeddrum.platform.start_report import REPORT_TARGET

PROBE_TIMEOUT_SECONDS = 0.25

REPLY_TIMEOUT_SECONDS = 0.25


async def probe_endpoint(address: str) -> ProbeResult:
    """Connect to ``IP:port``, close the connection and return what became of it."""
    try:
        conn = await ClientConnection.connect(address, PROBE_TIMEOUT_SECONDS)
    except PeerRefusedError:
        return ProbeResult.REFUSED
    except NotSentError:
        return ProbeResult.UNANSWERED
    await conn.close()
    return ProbeResult.CONNECTED


async def ask_life_sign(address: str, *, by_report: bool) -> LifeSign:
    """Connect to ``IP:port`` and return what became of it.

    With ``by_report`` the endpoint is asked for a report.
    """
    try:
        conn = await ClientConnection.connect(address, PROBE_TIMEOUT_SECONDS)
    except PeerRefusedError:
        return LifeSign.REFUSED
    except NotSentError:
        return LifeSign.UNREACHED
    try:
        return await _reply_sign(address, conn) if by_report else LifeSign.ACCEPTED
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
