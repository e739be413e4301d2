"""What a host knows of the limits that endpoints have named."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterable

from knapweeddrum.core.placing.told_limit import ToldLimit
from knapweeddrum.value.identifiers import EndpointName

ENDED_MEMORY_SECONDS = 10.0
"""Time for which the others are told that a limit has ended."""


@dataclasses.dataclass(slots=True)
class _Known:
    per_second: float | None
    """None for a limit that has ended."""
    named_at: float
    closed_until: float = float("-inf")


class EndpointLimits:
    """Knows the limit of each start of an endpoint, and when to ask for a permit.

    What was named last counts, to this host or another one. A host that was denied a
    permit sends nothing before it may ask again. Times are in monotonic seconds.
    """

    def __init__(self) -> None:
        self._known: dict[EndpointName, _Known] = {}
        self.on_change: Callable[[], None] | None = None
        """Called when this host hears of a limit, another value or an end."""

    def observe(
        self, instance: EndpointName, per_second: float | None, now: float
    ) -> bool:
        """Record what an answer named, None for no limit; return if that is new."""
        known = self._known.get(instance)
        if known is None and per_second is None:
            return False
        before = known.per_second if known is not None else None
        self._record(instance, per_second, now)
        if before == per_second:
            return False
        if self.on_change is not None:
            self.on_change()
        return True

    def merge(self, told: Iterable[ToldLimit], now: float) -> None:
        """Apply what another host has heard."""
        for limit in told:
            named_at = now - limit.age
            known = self._known.get(EndpointName(limit.instance))
            if known is None or named_at > known.named_at:
                self._record(EndpointName(limit.instance), limit.per_second, named_at)

    def limit(self, instance: EndpointName) -> float | None:
        """Return the requests a second from all hosts, None without a limit."""
        known = self._known.get(instance)
        return known.per_second if known is not None else None

    def age(self, instance: EndpointName, now: float) -> float:
        """Return the seconds since an answer told of a limit or none."""
        known = self._known.get(instance)
        return now - known.named_at if known is not None else 0.0

    def close(self, instance: EndpointName, until: float) -> None:
        """Record that no permit is to be asked for before a time."""
        known = self._known.get(instance)
        if known is not None:
            known.closed_until = until

    def wait(self, instance: EndpointName, now: float) -> float:
        """Return the seconds until a permit may be asked for, 0 for now."""
        known = self._known.get(instance)
        if known is None or known.per_second is None:
            return 0.0
        return max(0.0, known.closed_until - now)

    def told(self, now: float) -> tuple[ToldLimit, ...]:
        """Return what the other hosts are told."""
        return tuple(
            ToldLimit(instance, known.per_second, round(now - known.named_at, 2))
            for instance, known in sorted(self._known.items())
            if known.per_second is not None
            or now - known.named_at < ENDED_MEMORY_SECONDS
        )

    def retain(self, instances: Iterable[EndpointName], now: float) -> None:
        """Forget endpoints that are not listed any more."""
        listed = set(instances)
        self._known = {
            instance: known
            for instance, known in self._known.items()
            if instance in listed or now - known.named_at < ENDED_MEMORY_SECONDS
        }

    def _record(
        self, instance: EndpointName, per_second: float | None, named_at: float
    ) -> None:
        known = self._known.get(instance)
        if known is None:
            self._known[instance] = _Known(per_second, named_at)
            return
        known.per_second = per_second
        known.named_at = named_at
