"""Ranking of the hosts that may be witnesses."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from knapweeddrum.value.host_record import HostRecord


def rank_witnesses(
    incarnation: str, data_centre: str, hosts: Iterable[HostRecord]
) -> list[str]:
    """Return the incarnations that may be witnesses of a host, the best first.

    Hosts of other data centres come first, as they are less likely to fail together
    with this one. Within each group a hash of both incarnations spreads the work over
    the hosts and keeps the ranking stable.
    """
    ranked = sorted(
        hosts,
        key=lambda host: (
            host.data_centre == data_centre,
            _digest(incarnation, host.incarnation),
        ),
    )
    return [host.incarnation for host in ranked]


def _digest(holder: str, witness: str) -> bytes:
    return hashlib.blake2b(f"{holder}|{witness}".encode(), digest_size=8).digest()
