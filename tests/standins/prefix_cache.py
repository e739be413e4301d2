"""Prefix cache of the stand-in engine."""

from __future__ import annotations

import collections
import time

from knapweeddrum.endpoint.cache_events_reply import CacheEventBody
from tests.standins.prompt import Prompt

MAX_EVENTS = 10_000


class PrefixCache:
    """The most recently used prefixes, and the events of their coming and going."""

    def __init__(self) -> None:
        self._prefixes: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._sequence = 0
        self._events: collections.deque[tuple[float, CacheEventBody]] = (
            collections.deque(maxlen=MAX_EVENTS)
        )

    def use(self, prompt: Prompt, capacity: int, gap_every: int) -> bool:
        """Store the prefixes of a prompt; return whether the longest was there."""
        hit = False
        for prefix in prompt.prefixes():
            hit = prefix in self._prefixes
            if not hit:
                self._note(prefix, stored=True, gap_every=gap_every)
            self._prefixes[prefix] = None
            self._prefixes.move_to_end(prefix)
        while len(self._prefixes) > capacity:
            prefix, _ = self._prefixes.popitem(last=False)
            self._note(prefix, stored=False, gap_every=gap_every)
        return hit

    def clear(self) -> None:
        """Forget all prefixes without a word, as a crash does."""
        self._prefixes.clear()

    def events(self, after: int, lag: float) -> tuple[CacheEventBody, ...]:
        """Return the events above ``after`` that are ``lag`` seconds old."""
        newest = time.time() - lag
        return tuple(
            event
            for when, event in self._events
            if event.sequence > after and when <= newest
        )

    def _note(self, prefix: str, *, stored: bool, gap_every: int) -> None:
        self._sequence += 1
        if gap_every and self._sequence % gap_every == 0:
            return
        event = CacheEventBody(self._sequence, prefix, stored)
        self._events.append((time.time(), event))
