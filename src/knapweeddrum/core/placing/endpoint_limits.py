"""What a host knows of the limits that endpoints have named."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterable

from knapweeddrum.core.placing.cold_endpoints import ColdEndpoints
from knapweeddrum.value.identifiers import EndpointName
from knapweeddrum.value.told_limit import ToldLimit

ENDED_MEMORY_SECONDS = 10.0
"""Time for which the others are told that a limit has ended."""

UNNAMED_ANSWERS_TO_END = 5
"""Served answers in a row that don't name a limit, after which it has ended."""

UNNAMED_ANSWER_FACTOR = 2.0
"""What each such answer before multiplies the limit by."""


NEVER_HEARD_SECONDS = 1_000_000.0
"""Age that is told for an endpoint of which nothing was heard, older than any word."""


@dataclasses.dataclass(slots=True)
class _Known:
    per_second: float | None
    """None for a limit that has ended."""
    known_at: float
    """Time up to which answers are taken into account."""
    unnamed_answers: int = 0

    @property
    def effective(self) -> float | None:
        if self.per_second is None:
            return None
        return self.per_second * UNNAMED_ANSWER_FACTOR**self.unnamed_answers


class EndpointLimits:
    """Knows the limit of each start of an endpoint, and when to ask for a permit.

    The limit is the lower one of what the endpoint named and, while it is cold, of its
    service's ramp.

    What was named last counts, to this host or another one. A limit that is not named
    any more grows with each served answer until it has ended, so that one such answer
    does not open the endpoint to all hosts. A host that was denied a permit sends
    nothing before it may ask again. Times are in monotonic seconds.
    """

    def __init__(self) -> None:
        self._known: dict[EndpointName, _Known] = {}
        self._closed_until: dict[EndpointName, float] = {}
        self.cold = ColdEndpoints()
        """Endpoints under a limit because they are cold."""
        self.on_change: Callable[[], None] | None = None
        """Called when this host hears of a limit, another value or an end."""
        self.on_news: Callable[[EndpointName], None] | None = None
        """Called with the endpoint when an answer tells what was not known."""

    def observe_named(
        self, instance: EndpointName, per_second: float, sent_at: float, now: float
    ) -> bool:
        """Record what an answer named; return if that is another limit than before.

        A higher one counts only if the request was sent after the lower one was named,
        as answers may overtake each other.
        """
        known = self._known.get(instance)
        before = known.effective if known is not None else None
        is_higher = before is not None and per_second > before
        if known is not None and is_higher and sent_at <= known.known_at:
            return False
        is_other = known is None or known.per_second != per_second
        self._record(ToldLimit(instance, per_second, 0.0), now)
        if per_second != before:
            self._tell_news(instance)
        return is_other and self._changed()

    def observe_unnamed(self, instance: EndpointName, sent_at: float) -> bool:
        """Record that a served answer named no limit; return if that ended one.

        It tells nothing if its request was sent before the limit was named last.
        """
        known = self._known.get(instance)
        if known is None or known.per_second is None or sent_at <= known.known_at:
            return False
        unnamed = known.unnamed_answers + 1
        per_second = known.per_second if unnamed < UNNAMED_ANSWERS_TO_END else None
        self._record(ToldLimit(instance, per_second, 0.0, unnamed), sent_at)
        self._tell_news(instance)
        return per_second is None and self._changed()

    def merge(self, told: Iterable[ToldLimit], now: float) -> None:
        """Apply what another host has heard."""
        for limit in told:
            known_at = now - limit.age
            known = self._known.get(EndpointName(limit.instance))
            if known is None and limit.age >= NEVER_HEARD_SECONDS:
                continue
            if known is None or known_at > known.known_at:
                self._record(limit, known_at)

    def limit(self, instance: EndpointName, now: float) -> float | None:
        """Return the requests a second from all hosts, None without a limit."""
        return lower_limit(self.named(instance), self.cold.limit(instance, now))

    def named(self, instance: EndpointName) -> float | None:
        """Return the limit that the endpoint has named, None without one."""
        known = self._known.get(instance)
        return known.effective if known is not None else None

    def tell(self, instance: EndpointName, now: float) -> ToldLimit:
        """Return what another host is told of an endpoint."""
        known = self._known.get(instance)
        if known is None:
            return ToldLimit(instance, None, NEVER_HEARD_SECONDS)
        return ToldLimit(
            instance,
            known.per_second,
            max(0.0, now - known.known_at),
            known.unnamed_answers,
        )

    def close(self, instance: EndpointName, until: float) -> None:
        """Record that no permit is to be asked for before a time."""
        self._closed_until[instance] = until

    def wait(self, instance: EndpointName, now: float) -> float:
        """Return the seconds until a permit may be asked for, 0 for now."""
        closed_until = self._closed_until.get(instance)
        if closed_until is None or self.limit(instance, now) is None:
            return 0.0
        return max(0.0, closed_until - now)

    def told(self, now: float) -> tuple[ToldLimit, ...]:
        """Return what the other hosts are told."""
        return tuple(
            dataclasses.replace(limit, age=round(limit.age, 2))
            for limit in (self.tell(instance, now) for instance in sorted(self._known))
            if limit.per_second is not None or limit.age < ENDED_MEMORY_SECONDS
        )

    def retain(self, instances: Iterable[EndpointName], now: float) -> None:
        """Forget endpoints that are not listed any more."""
        listed = set(instances)
        self._known = {
            instance: known
            for instance, known in self._known.items()
            if instance in listed or now - known.known_at < ENDED_MEMORY_SECONDS
        }
        self._closed_until = {
            instance: until
            for instance, until in self._closed_until.items()
            if instance in listed
        }

    def _record(self, limit: ToldLimit, known_at: float) -> None:
        instance = EndpointName(limit.instance)
        known = self._known.setdefault(instance, _Known(None, known_at))
        known.per_second = limit.per_second
        known.known_at = known_at
        known.unnamed_answers = limit.unnamed_answers

    def _changed(self) -> bool:
        if self.on_change is not None:
            self.on_change()
        return True

    def _tell_news(self, instance: EndpointName) -> None:
        if self.on_news is not None:
            self.on_news(instance)


def lower_limit(first: float | None, second: float | None) -> float | None:
    """Return the lower of two limits, None if there is neither."""
    limits = [limit for limit in (first, second) if limit is not None]
    return min(limits, default=None)
