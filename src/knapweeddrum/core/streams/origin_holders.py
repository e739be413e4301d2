"""Which hosts are told what began a stream."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from knapweeddrum.core.directory.host_record import HostRecord

TOLD_HOSTS = 2
"""Other hosts that are told what began a stream."""

ASKED_HOSTS = 3
"""Other hosts that are asked, one more as the host that tells does not tell itself."""


def rank_holders(key: str, hosts: Iterable[HostRecord]) -> list[HostRecord]:
    """Return the hosts in the order in which they hold the origin of a stream.

    All hosts that know the same others agree on it; a restarted host is another one.
    """
    return sorted(
        hosts, key=lambda host: (_digest(key, host.incarnation), host.incarnation)
    )


def _digest(key: str, incarnation: str) -> bytes:
    return hashlib.blake2b(f"{key}|{incarnation}".encode(), digest_size=8).digest()
