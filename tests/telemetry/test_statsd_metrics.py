from __future__ import annotations

import socket

from knapweeddrum.telemetry.statsd_metrics import statsd_metrics
from knapweeddrum.value.refusal_reason import RefusalReason


def test_refusal_is_sent_to_the_statsd_server():
    """A refusal is counted by its reason, in memory and at the statsd server."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.settimeout(10.0)
        metrics = statsd_metrics("127.0.0.1", server.getsockname()[1])
        metrics.count_refusal(RefusalReason.DEADLINE)
        assert server.recv(1024) == b"knapweed.refusal.deadline:1|c"
    assert metrics.counts["refusal.deadline"] == 1


def test_without_an_address_nothing_is_sent():
    """Without a statsd server, counters are only kept in memory."""
    metrics = statsd_metrics("", 8125)
    metrics.count_refusal(RefusalReason.DEADLINE)
    assert metrics.counts["refusal.deadline"] == 1
