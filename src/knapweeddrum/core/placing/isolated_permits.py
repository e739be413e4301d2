"""Permits of a host that reaches neither the store nor the owners of permits."""

from __future__ import annotations

from knapweeddrum.core.placing.permit_bucket import MIN_PER_SECOND, PermitBucket
from knapweeddrum.value.identifiers import EndpointName

FORGOTTEN_SECONDS = 10.0
"""Time without a question after which an endpoint has its first permit again."""


FILLED_SECONDS = 1.0
"""Time for which a bucket was filled, up to one permit, when it is asked first.

Endpoints may have become cold for longer than that, as the host's list is old.
"""


class IsolatedPermits:
    """Hands out this host's part of the limits on endpoints that may be cold.

    The part is that of the fleet's requests that come to this host, so that all
    isolated hosts together keep to the limit. Hosts whose part is below the lowest rate
    of a bucket get none: hundreds of them would pass the limit. Times are in monotonic
    seconds.
    """

    def __init__(self) -> None:
        self._buckets: dict[EndpointName, PermitBucket] = {}
        self._asked_at: dict[EndpointName, float] = {}

    def take(self, instance: EndpointName, per_second: float, now: float) -> bool:
        """Take a permit at a rate; return whether there was one."""
        self._forget(now)
        if per_second < MIN_PER_SECOND:
            return False
        self._asked_at[instance] = now
        bucket = self._buckets.get(instance)
        if bucket is None:
            bucket = PermitBucket(per_second, now - FILLED_SECONDS)
            self._buckets[instance] = bucket
        bucket.set_rate(per_second, now, burst_seconds=0.0)
        return bucket.take(now)

    def wait(self, instance: EndpointName, now: float) -> float | None:
        """Return the seconds until there is a permit, None if there is none at all."""
        bucket = self._buckets.get(instance)
        return bucket.wait(now) if bucket is not None else None

    def _forget(self, now: float) -> None:
        old = [
            instance
            for instance, asked_at in self._asked_at.items()
            if now - asked_at > FORGOTTEN_SECONDS
        ]
        for instance in old:
            del self._buckets[instance]
            del self._asked_at[instance]
