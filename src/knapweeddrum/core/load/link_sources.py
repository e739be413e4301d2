"""What fills the incoming direction of a host's link."""

from __future__ import annotations

import math
from collections.abc import Callable

from knapweeddrum.core.load.link_load import LinkLoad
from knapweeddrum.value.link_source import LinkSource

RATE_SECONDS = 1.0
"""Time constant with which the rates follow."""


class LinkSources:
    """Received bytes by their source; ``now`` is in monotonic seconds."""

    def __init__(self) -> None:
        self.totals = dict.fromkeys(LinkSource, 0)
        """Bytes since the start."""
        self._rates = dict.fromkeys(LinkSource, 0.0)
        self._counted = dict.fromkeys(LinkSource, 0)
        self._updated_at = 0.0

    def receiver(self, source: LinkSource, load: LinkLoad) -> Callable[[int], None]:
        """Return what is to be told the size of each receive from a source."""

        def receive(count: int) -> None:
            self.totals[source] += count
            load.receive(count)

        return receive

    def rates(self, now: float) -> dict[str, int]:
        """Return the bytes received per second lately, by source."""
        elapsed = now - self._updated_at
        if elapsed > 0.0:
            self._follow(elapsed)
            self._updated_at = now
        return {source.value: round(rate) for source, rate in self._rates.items()}

    def _follow(self, elapsed: float) -> None:
        step = 1.0 - math.exp(-elapsed / RATE_SECONDS)
        for source, total in self.totals.items():
            per_second = (total - self._counted[source]) / elapsed
            self._rates[source] += (per_second - self._rates[source]) * step
            self._counted[source] = total
