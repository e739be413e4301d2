"""Construction of counters that are sent to a statsd server."""

from __future__ import annotations

import statsd

from knapweeddrum.telemetry.metrics import Metrics

PREFIX = "knapweed"


def statsd_metrics(address: str, port: int) -> Metrics:
    """Return counters sent by UDP to an IP address; an empty address sends nowhere."""
    if not address:
        return Metrics()
    ipv6 = ":" in address
    return Metrics(statsd.StatsClient(address, port, prefix=PREFIX, ipv6=ipv6))
