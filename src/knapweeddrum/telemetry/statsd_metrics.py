"""Creates metrics that are sent to a statsd server."""

from __future__ import annotations

import statsd

from knapweeddrum.telemetry.metrics import Metrics

PREFIX = "knapweed"


def statsd_metrics(address: str, port: int) -> Metrics:
    """Return metrics that are sent over UDP to the statsd server at an IP address.

    With an empty address they are only kept in memory.
    """
    if not address:
        return Metrics()
    ipv6 = ":" in address
    return Metrics(statsd.StatsClient(address, port, prefix=PREFIX, ipv6=ipv6))
