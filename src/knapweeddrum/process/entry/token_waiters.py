"""The requests that wait for prepaid tokens at one host."""

from __future__ import annotations

from collections.abc import Iterator

from knapweeddrum.core.prepaid.token_verdict import TokenVerdict
from knapweeddrum.process.entry.token_waiter import TokenWaiter


class TokenWaiters:
    """Requests in the order in which they came."""

    def __init__(self) -> None:
        self._waiters: list[TokenWaiter] = []

    def __bool__(self) -> bool:
        return bool(self._waiters)

    def __iter__(self) -> Iterator[TokenWaiter]:
        return iter(list(self._waiters))

    def add(self, waiter: TokenWaiter) -> None:
        """Add a request that waits."""
        self._waiters.append(waiter)

    def discard(self, waiter: TokenWaiter) -> None:
        """Remove a request, if it still waits."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def finish(self, waiter: TokenWaiter, verdict: TokenVerdict) -> None:
        """Tell a request its verdict."""
        self._waiters.remove(waiter)
        waiter.finish(verdict)

    def by_organisation(self) -> dict[str, list[int]]:
        """Return the tokens of each request, in order."""
        waiting: dict[str, list[int]] = {}
        for waiter in self._waiters:
            waiting.setdefault(waiter.organisation, []).append(waiter.tokens)
        return waiting

    def totals(self) -> dict[str, int]:
        """Return the tokens of all requests together."""
        return {name: sum(tokens) for name, tokens in self.by_organisation().items()}
