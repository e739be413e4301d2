"""How many requests a host can carry."""

from __future__ import annotations

from knapweeddrum.core.load.link_load import BYTES_PER_MEGABIT

REQUEST_CORE_SECONDS = 0.02
"""Processor time that a request takes, with all events of its answer."""

REQUEST_BYTES = 25_000
"""Bytes that a request moves over the host's link, in one direction."""


def host_capacity(processor_cores: float, link_mbps: float) -> float:
    """Return the requests per second that use up the processor or the link."""
    by_processor = processor_cores / REQUEST_CORE_SECONDS
    by_link = link_mbps * BYTES_PER_MEGABIT / REQUEST_BYTES
    return min(by_processor, by_link)
