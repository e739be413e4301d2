"""Index of the endpoints that probably have a prompt prefix cached."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from knapweeddrum.core.routing.prefix_match import PrefixMatch
from knapweeddrum.value.identifiers import EndpointName

MAX_PREFIXES = 4096
"""Prefixes that are remembered; the least recently used is dropped first."""

MAX_HOLDERS = 8
"""Endpoints that are remembered for one prefix."""

HINT_LIFETIME_SECONDS = 300.0
"""Time for which a hint is used."""

UNCERTAIN_HINT_LIFETIME_SECONDS = 30.0
"""Time for which a hint is used once a later event of its endpoint was lost."""


class PrefixIndex:
    """Maps digests of prompt prefixes to the endpoints that probably hold them.

    These hints come from the endpoints' cache events and from the prompts sent to them.
    Events arrive late, and some are lost, so a hint may be wrong; it is used only to
    prefer an endpoint. Events of an endpoint carry consecutive numbers, ``sequence``.
    Times are monotonic seconds.
    """

    def __init__(self) -> None:
        self._holders: OrderedDict[str, dict[EndpointName, float]] = OrderedDict()
        self._last_sequences: dict[EndpointName, int] = {}
        self._last_gap_times: dict[EndpointName, float] = {}

    def __len__(self) -> int:
        return len(self._holders)

    def stored(
        self, endpoint: EndpointName, prefix: str, sequence: int, now: float
    ) -> None:
        """Record the event that an endpoint has cached a prefix."""
        if self._accept_event(endpoint, sequence, now):
            self._add(endpoint, prefix, now)

    def evicted(
        self, endpoint: EndpointName, prefix: str, sequence: int, now: float
    ) -> None:
        """Record the event that an endpoint has evicted a prefix from its cache."""
        if self._accept_event(endpoint, sequence, now):
            self._discard(endpoint, prefix)

    def routed(
        self, endpoint: EndpointName, prefixes: Sequence[str], now: float
    ) -> None:
        """Record that a prompt was sent to an endpoint, which will cache it."""
        for prefix in reversed(prefixes):
            self._add(endpoint, prefix, now)

    def forget(self, endpoint: EndpointName) -> None:
        """Drop the hints of an endpoint whose cache was lost by restart or removal."""
        self._last_sequences.pop(endpoint, None)
        self._last_gap_times.pop(endpoint, None)
        for prefix in list(self._holders):
            self._discard(endpoint, prefix)

    def match(self, prefixes: Sequence[str], now: float) -> PrefixMatch:
        """Return the likely holders of the longest known prefix.

        ``prefixes`` are those of one prompt, the longest first.
        """
        for index, prefix in enumerate(prefixes):
            holders = self._fresh_holders(prefix, now)
            if holders:
                self._holders.move_to_end(prefix)
                coverage = (len(prefixes) - index) / len(prefixes)
                return PrefixMatch(coverage, holders)
        return PrefixMatch()

    def _fresh_holders(self, prefix: str, now: float) -> frozenset[EndpointName]:
        holders = self._holders.get(prefix, {})
        return frozenset(
            endpoint
            for endpoint, recorded_at in holders.items()
            if self._is_fresh(endpoint, recorded_at, now)
        )

    def _is_fresh(self, endpoint: EndpointName, recorded_at: float, now: float) -> bool:
        is_uncertain = recorded_at <= self._last_gap_times.get(endpoint, float("-inf"))
        lifetime = (
            UNCERTAIN_HINT_LIFETIME_SECONDS if is_uncertain else HINT_LIFETIME_SECONDS
        )
        return now - recorded_at < lifetime

    def _accept_event(self, endpoint: EndpointName, sequence: int, now: float) -> bool:
        last = self._last_sequences.get(endpoint, sequence - 1)
        if sequence <= last:
            return False
        if sequence > last + 1:
            self._last_gap_times[endpoint] = now
        self._last_sequences[endpoint] = sequence
        return True

    def _add(self, endpoint: EndpointName, prefix: str, now: float) -> None:
        holders = self._holders.setdefault(prefix, {})
        holders.pop(endpoint, None)
        holders[endpoint] = now
        if len(holders) > MAX_HOLDERS:
            del holders[next(iter(holders))]
        self._holders.move_to_end(prefix)
        if len(self._holders) > MAX_PREFIXES:
            self._holders.popitem(last=False)

    def _discard(self, endpoint: EndpointName, prefix: str) -> None:
        holders = self._holders.get(prefix)
        if holders is None:
            return
        holders.pop(endpoint, None)
        if not holders:
            del self._holders[prefix]
