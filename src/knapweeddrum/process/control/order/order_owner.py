"""Which host takes care of the orders to an engine."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from knapweeddrum.message.call.entry_host import EntryHost

SCORE_BYTES = 8


def order_owner(endpoint: str, hosts: Iterable[EntryHost]) -> str:
    """Return the live host that rendezvous hashing names, empty without any.

    Hosts whose views differ may name two; the log's order lets one of them claim.
    """
    alive = [host.host for host in hosts if host.alive]
    return max(alive, key=lambda host: _score(endpoint, host), default="")


def _score(endpoint: str, host: str) -> bytes:
    key = f"{endpoint}\n{host}".encode()
    return hashlib.blake2b(key, digest_size=SCORE_BYTES).digest()
