"""How many connections to one endpoint a host may have."""

from __future__ import annotations

STANDBY_FRACTION = 0.2
"""Fraction of an endpoint's connections that is split between all hosts."""

MEMBER_FRACTION = 0.6
"""Fraction that is split between the members of the working set, besides."""

MIN_CONNECTIONS = 2
"""Least number of a member; a host that stands by has one."""


def connection_limit(accepted: int, share: float, members_share: float) -> int:
    """Return this host's part of the connections that an endpoint accepts.

    ``share`` is its part of what all hosts may use, ``members_share`` that of what the
    members of the working set may use, 0 for a host that is none; both from 0 to 1.
    """
    least = MIN_CONNECTIONS if members_share else 1
    fraction = STANDBY_FRACTION * share + MEMBER_FRACTION * members_share
    return max(least, int(accepted * fraction))
