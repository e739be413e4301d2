"""Which hosts callers should leave for a while."""

from __future__ import annotations

import statistics
from collections.abc import Sequence

from knapweeddrum.core.directory.host_record import HostRecord

MIN_DELAY_MS = 60
"""Delay of the store's replies below which a host is not overloaded."""

DELAY_FACTOR = 4.0
"""Multiple of the median delay above which a host is overloaded.

A slow store delays all hosts alike, which makes none of them overloaded.
"""

MAX_FRACTION = 0.25
"""Largest fraction of the hosts that is left out, as the others take their load."""


def overloaded_hosts(hosts: Sequence[HostRecord]) -> frozenset[str]:
    """Return the names of the hosts that are far behind the others.

    All callers of an organisation may use one host, which is then overloaded while
    others are idle. Callers leave a host that is missing from the directory.
    """
    if not hosts:
        return frozenset()
    median = statistics.median(host.delay_ms for host in hosts)
    limit = max(MIN_DELAY_MS, DELAY_FACTOR * median)
    overloaded = sorted(
        (host for host in hosts if host.delay_ms > limit),
        key=lambda host: (-host.delay_ms, host.name),
    )
    most = int(len(hosts) * MAX_FRACTION)
    return frozenset(host.name for host in overloaded[:most])
