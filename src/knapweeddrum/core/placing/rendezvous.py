"""Rendezvous hashing of sessions to endpoints."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from knapweeddrum.core.placing.endpoint_state import EndpointState


def rendezvous_rank(session: str, endpoint_id: str) -> bytes:
    """Return the rank of an endpoint for a session; the highest rank is preferred."""
    return _digest(f"{session}|{endpoint_id}".encode())


def first_by_rank(states: Iterable[EndpointState], session: str) -> EndpointState:
    """Return the preferred endpoint of a session; ``states`` is not empty."""
    prefix = f"{session}|".encode()
    return max(states, key=lambda state: _digest(prefix + state.rank_key))


def _digest(data: bytes) -> bytes:
    return hashlib.blake2b(data, digest_size=8).digest()
