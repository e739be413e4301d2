"""How many connections to one endpoint a host may have."""

from __future__ import annotations

EVEN_FRACTION = 0.3
"""Fraction of an endpoint's connections that is split evenly between all hosts."""

DEMAND_FRACTION = 0.5
"""Fraction that is split by the requests that the hosts get, besides."""

MAX_DEMAND_SHARE = 0.5
"""Largest part for demand, as the other hosts may not have read of it yet."""

MIN_CONNECTIONS = 2


def connection_limit(
    accepted: int, even_share: float, demand_share: float | None
) -> int:
    """Return this host's part of the connections that an endpoint accepts.

    ``even_share`` is one part in as many as there are hosts, ``demand_share`` the part
    of the fleet's requests that come to this host, None if unknown; from 0 to 1.
    """
    if demand_share is None:
        demand_share = even_share
    demand_share = min(demand_share, max(MAX_DEMAND_SHARE, even_share))
    fraction = EVEN_FRACTION * even_share + DEMAND_FRACTION * demand_share
    return max(MIN_CONNECTIONS, int(accepted * fraction))
