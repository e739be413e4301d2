"""Exceptions that httpcore raises for a failed exchange."""

from __future__ import annotations

import h11
import httpcore

TRANSPORT_ERRORS: tuple[type[Exception], ...] = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    httpcore.UnsupportedProtocol,
    h11.ProtocolError,
    OSError,
)
