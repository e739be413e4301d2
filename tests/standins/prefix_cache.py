"""Prefix cache of the stand-in for a model engine."""

from __future__ import annotations

import collections
import time

from knapweeddrum.endpoint.cache_events_reply import CacheEventBody
from tests.standins.prompt import Prompt

MAX_EVENTS = 10_000


class PrefixCache:
    """The most recently used prompt prefixes, and events for each change of them."""

    def __init__(self) -> None:
        self._prefixes: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._sequence = 0
        self._events: collections.deque[tuple[float, CacheEventBody]] = (
            collections.deque(maxlen=MAX_EVENTS)
        )

    def use(self, prompt: Prompt, capacity: int, gap_every: int) -> bool:
        """Store a prompt's prefixes; return whether the longest was cached before.

        Every ``gap_every``-th event is not published; 0 publishes all.
        """
        hit = False
        for prefix in prompt.message_prefix_digests():
            hit = prefix in self._prefixes
            if not hit:
                self._record_event(prefix, stored=True, gap_every=gap_every)
            self._prefixes[prefix] = None
            self._prefixes.move_to_end(prefix)
        while len(self._prefixes) > capacity:
            prefix, _ = self._prefixes.popitem(last=False)
            self._record_event(prefix, stored=False, gap_every=gap_every)
        return hit

    def clear(self) -> None:
        """Drop all prefixes without events, as a crash does."""
        self._prefixes.clear()

    def events(self, after: int, lag: float) -> tuple[CacheEventBody, ...]:
        """Return the events after a sequence number that are at least ``lag`` s old."""
        newest = time.time() - lag
        return tuple(
            event
            for when, event in self._events
            if event.sequence > after and when <= newest
        )

    def _record_event(self, prefix: str, *, stored: bool, gap_every: int) -> None:
        self._sequence += 1
        if gap_every and self._sequence % gap_every == 0:
            return
        event = CacheEventBody(self._sequence, prefix, stored)
        self._events.append((time.time(), event))
