"""Gives permits for endpoints under a limit."""

from __future__ import annotations

import time

import msgspec

from knapweeddrum.core.placing.endpoint_limits import lower_limit
from knapweeddrum.core.placing.endpoint_states import instance_name
from knapweeddrum.core.placing.permit_bucket import MIN_PER_SECOND, PermitBucket
from knapweeddrum.message.call.endpoint_permit import (
    LimitNews,
    LimitNewsReply,
    PermitReply,
    PermitRequest,
)
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.page_server import PageAnswer
from knapweeddrum.telemetry.counters import (
    PERMIT_DENIED,
    PERMIT_GIVEN,
    PERMIT_WITHHELD,
)
from knapweeddrum.telemetry.entry_events import PERMITS_OWNED
from knapweeddrum.value.documents import decode_json
from knapweeddrum.value.host_record import HostRecord
from knapweeddrum.value.identifiers import EndpointName
from knapweeddrum.value.told_limit import ToldLimit

PERMIT_PATH = b"/permits"
LIMIT_NEWS_PATH = b"/permits/limit"

ASKER_MEMORY_SECONDS = 3.0
"""Time for which a host that was denied a permit counts as one that waits."""

ASKS_PER_PERMIT = 2.0
"""Questions a second, as a multiple of the limit, that the waiting hosts share."""

MIN_WAIT_SECONDS = 0.02

COLD_BURST_SECONDS = 0.2
"""Time for which unused permits of a cold endpoint are kept, whose bound is on each
second and not on four."""

NOT_OWNER_WAIT_SECONDS = 0.5
"""Time after which a host asks again that took another one for the owner."""

WITHHELD_WAIT_SECONDS = 0.25
"""Time after which a host asks an owner again that gives none at present."""


class PermitDesk:
    """Holds the permits of the endpoints that this host owns.

    One host, the owner, gives the permits of an endpoint to all hosts, so that they
    keep to one limit together. It is chosen like the owner of an organisation's tokens.
    """

    def __init__(self, ctx: EntryContext) -> None:
        self._ctx = ctx
        self._buckets: dict[EndpointName, PermitBucket] = {}
        self._denied_at: dict[EndpointName, dict[str, float]] = {}
        self._owned: set[EndpointName] = set()

    async def answer(self, body: bytes) -> PageAnswer:
        """Answer a PermitRequest of another host."""
        req = decode_json(body, PermitRequest)
        return PageAnswer(200, msgspec.json.encode(self.give(req)))

    async def take_news(self, body: bytes) -> PageAnswer:
        """Take in LimitNews of another host."""
        news = decode_json(body, LimitNews)
        self._ctx.endpoint_limits.merge([news.limit], time.monotonic())
        return PageAnswer(200, msgspec.json.encode(LimitNewsReply()))

    def give(self, req: PermitRequest) -> PermitReply:
        """Give a permit, or say when to ask again."""
        ctx = self._ctx
        now = time.monotonic()
        instance = EndpointName(req.instance)
        owners = ctx.token_owners_before(req.instance)
        self._report_owner(instance, owners)
        if owners:
            return self._deny(NOT_OWNER_WAIT_SECONDS, req.limit)
        if self._is_emptied(instance):
            # The host that asks has not read the record yet.
            return self._deny(WITHHELD_WAIT_SECONDS, req.limit)
        ctx.endpoint_limits.merge([req.limit], now)
        told = ctx.endpoint_limits.tell(instance, now)
        named = ctx.endpoint_limits.named(instance)
        cold = ctx.endpoint_limits.cold.limit_of_question(
            instance, req.cold_per_second, may_err=req.may_err, now=now
        )
        per_second = lower_limit(named, cold)
        if per_second is None:
            return _reply(told, is_given=True)
        share = ctx.permit_share(now)
        if share <= 0.0:
            ctx.metrics.count(PERMIT_WITHHELD)
            reply = self._deny(WITHHELD_WAIT_SECONDS, told)
            return msgspec.structs.replace(reply, is_withheld=True)
        bucket = self._bucket(instance, per_second * share, now)
        if cold is not None:
            bucket.set_rate(per_second * share, now, self._cold_burst(per_second))
        if bucket.take(now):
            self._denied_at.get(instance, {}).pop(req.sender, None)
            ctx.metrics.count(PERMIT_GIVEN)
            return _reply(told, is_given=True)
        wait = self._wait(instance, bucket, req.sender, per_second, now)
        return self._deny(wait, told)

    def _is_emptied(self, instance: EndpointName) -> bool:
        """Return whether the endpoint's data centre gets no new work."""
        ctx = self._ctx
        return any(
            ctx.emptied.is_emptied(entry.data_centre)
            for entry in ctx.service_list.all()
            if instance_name(entry) == instance
        )

    def _report_owner(
        self, instance: EndpointName, owners: tuple[HostRecord, ...]
    ) -> None:
        """Log that this host begins or ceases to give an endpoint's permits."""
        is_owned = not owners
        if is_owned == (instance in self._owned):
            return
        self._owned ^= {instance}
        ctx = self._ctx
        ctx.events.emit(
            PERMITS_OWNED,
            instance=instance,
            owned=is_owned,
            owner=ctx.settings.host_name if is_owned else owners[0].name,
            ready=ctx.hosts.host_count(),
        )

    def _deny(self, wait: float, told: ToldLimit) -> PermitReply:
        self._ctx.metrics.count(PERMIT_DENIED)
        return _reply(told, is_given=False, wait=wait)

    def _bucket(
        self, instance: EndpointName, per_second: float, now: float
    ) -> PermitBucket:
        bucket = self._buckets.get(instance)
        if bucket is None:
            self._forget_unlisted(now)
            bucket = self._buckets[instance] = PermitBucket(per_second, now)
        bucket.set_rate(per_second, now)
        return bucket

    def _wait(
        self,
        instance: EndpointName,
        bucket: PermitBucket,
        sender: str,
        per_second: float,
        now: float,
    ) -> float:
        """Return a time that spreads the questions of the hosts that wait."""
        denied_at = self._denied_at.setdefault(instance, {})
        denied_at[sender] = now
        waiting = {
            name: at
            for name, at in denied_at.items()
            if now - at < ASKER_MEMORY_SECONDS
        }
        self._denied_at[instance] = waiting
        turn = len(waiting) / (ASKS_PER_PERMIT * max(MIN_PER_SECOND, per_second))
        turn *= self._ctx.rng.uniform(0.5, 1.5)
        return max(MIN_WAIT_SECONDS, bucket.wait(now), turn)

    def _cold_burst(self, per_second: float) -> float:
        """Return for how many seconds unused permits of a cold endpoint are kept.

        With the one that a bucket always keeps they are at most half of the slack.
        """
        spare = max(0.0, self._ctx.settings.cold_slack / 2 - 1.0)
        return min(COLD_BURST_SECONDS, spare / per_second)

    def _forget_unlisted(self, now: float) -> None:
        listed = self._ctx.listed_instances()
        self._ctx.endpoint_limits.retain(listed, now)
        self._owned &= listed
        for instance in self._buckets.keys() - listed:
            del self._buckets[instance]
            self._denied_at.pop(instance, None)


def _reply(told: ToldLimit, *, is_given: bool, wait: float = 0.0) -> PermitReply:
    return PermitReply(is_given, wait, told.per_second, told.age, told.unnamed_answers)
