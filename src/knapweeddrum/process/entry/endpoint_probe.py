"""Probes whether an endpoint accepts connections."""

from __future__ import annotations

from knapweeddrum.core.admission.crash_evidence import ProbeResult
from knapweeddrum.http.client_connection import ClientConnection
from knapweeddrum.http.exceptions import NotSentError, PeerRefusedError

PROBE_TIMEOUT_SECONDS = 0.25


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
