"""Which hosts are told what began a stream."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from knapweeddrum.value.host_record import HostRecord

TOLD_HOSTS = 2
"""Other hosts that are told what began a stream."""

ASKED_HOSTS = 3
"""Other hosts that are asked, one more as the host that tells does not tell itself."""


def rank_holders(organisation: str, hosts: Iterable[HostRecord]) -> list[HostRecord]:
    """Return the hosts in the order in which they hold an organisation's origins.

    All hosts that know the same others agree on it; a restarted host is another one.
    The order is the same for all streams of an organisation, so that a host that serves
    many of them tells few hosts, in batches.
    """
    return sorted(
        hosts,
        key=lambda host: (_digest(organisation, host.incarnation), host.incarnation),
    )


def _digest(organisation: str, incarnation: str) -> bytes:
    text = f"{organisation}|{incarnation}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
