"""Writes what this host may spend, so that its next incarnation knows."""

from __future__ import annotations

import time
from collections.abc import Mapping

import anyio

from knapweeddrum.message.call.spending_record import SpendingLimit, SpendingRecord
from knapweeddrum.platform.exceptions import (
    AppendUnknownError,
    ConditionFailedError,
    LogUnavailableError,
    MalformedRecordError,
    StoreReturnedError,
)
from knapweeddrum.platform.keyed_record import KeyedRecord
from knapweeddrum.platform.spending_codec import (
    decode_spending,
    encode_spending,
    encode_spending_removal,
    spending_stream,
)
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.machine_clock import machine_time
from knapweeddrum.telemetry.counters import SPENDING_NOT_WRITTEN, SPENDING_WRITTEN
from knapweeddrum.telemetry.entry_events import PREDECESSOR_READ
from knapweeddrum.value.store_position import era_of

WRITE_INTERVAL_SECONDS = 0.5
"""Interval between two records; what is spent in it is not known after a kill."""

SECONDS_PER_HOST = 1 / 60
"""Interval for each host of a large fleet, so that all together write at most 60."""

MAX_WRITE_ATTEMPTS = 3
"""Writes of one record; each may fail as another host of the stream wrote before."""

RETRY_SECONDS = 0.1
RENEW_TIMEOUT_SECONDS = 0.1
"""Time for which a request waits for a record that lets it have its tokens."""


class SpendingTask:
    """Keeps the record of this host's limits ahead of its spending.

    While the store is away the last record stays in force. Its limits grow with time,
    so that demand like that of before goes on being served.
    """

    def __init__(self, ctx: EntryContext) -> None:
        self._ctx = ctx
        self._stream = spending_stream(ctx.settings.host_name)
        self._end: int | None = None
        self._number = 0
        self._written: tuple[SpendingLimit, ...] = ()
        self._wanted: dict[str, int] = {}
        self._due = anyio.Event()
        self._tried = anyio.Event()
        self._is_failing = False

    async def run(self) -> None:
        """Read the records of earlier incarnations, then write own ones."""
        while True:
            if self._end is None and not await self._list():
                await anyio.sleep(RETRY_SECONDS)
                continue
            with anyio.move_on_after(self._interval()):
                await self._due.wait()
            self._due = anyio.Event()
            await self._write_if_changed()
            if self._is_failing:
                await anyio.sleep(RETRY_SECONDS)

    async def renew(self, wanted: Mapping[str, int]) -> None:
        """Raise the limits of organisations so that so many tokens may be reserved.

        Returns after RENEW_TIMEOUT_SECONDS at the latest.
        """
        with anyio.move_on_after(RENEW_TIMEOUT_SECONDS):
            while limited := self._limited(wanted):
                for organisation, tokens in limited.items():
                    known = self._wanted.get(organisation, 0)
                    self._wanted[organisation] = max(known, tokens)
                self._due.set()
                if self._is_failing or self._end is None:
                    return
                await self._tried.wait()

    def _limited(self, wanted: Mapping[str, int]) -> dict[str, int]:
        now = time.monotonic()
        accounts = self._ctx.token_accounts
        return {
            organisation: tokens
            for organisation, tokens in wanted.items()
            if accounts.account(organisation, now).is_limited(tokens)
        }

    async def _list(self) -> bool:
        """Read where the stream ends, and the first time what earlier ones wrote."""
        try:
            listing = await self._ctx.store.list_newest(self._stream)
        except LogUnavailableError:
            return False
        if not self._number:
            self._apply(listing.records, era_of(listing.next_offset))
        self._end = listing.next_offset
        return True

    def _apply(self, records: tuple[KeyedRecord, ...], era: int) -> None:
        ctx = self._ctx
        decoded = []
        for record in records:
            try:
                decoded.append(decode_spending(record))
            except MalformedRecordError as exc:
                ctx.record_ignored(record.key, record.offset, str(exc))
        # This process listens at the host's addresses, so that no earlier one does.
        now = machine_time()
        ctx.predecessor_claims.apply(decoded, era, now)
        for known in decoded:
            if known.incarnation in ctx.predecessor_claims.incarnations:
                ctx.events.emit(
                    PREDECESSOR_READ,
                    holder=known.incarnation,
                    seconds=now.seconds_since(known.at),
                    same_era=known.era == era,
                    organisations=len(known.limits),
                )

    async def _write_if_changed(self) -> None:
        wanted, self._wanted = self._wanted, {}
        for _ in range(MAX_WRITE_ATTEMPTS):
            if await self._write(wanted):
                break
        self._tried.set()
        self._tried = anyio.Event()

    async def _write(self, wanted: Mapping[str, int]) -> bool:
        """Write a record if there is news; False if another host wrote before.

        The record is kept to from now on unless it is certainly not written.
        """
        ctx = self._ctx
        # The next incarnation counts from a time that is not later than this one's.
        at = machine_time()
        now = time.monotonic()
        limits = ctx.token_accounts.next_spending_limits(wanted, now)
        settled = self._settled_predecessors()
        if self._end is None or (limits == self._written and not settled):
            return True
        self._number += 1
        record = SpendingRecord(
            ctx.incarnation, self._number, era_of(self._end), at, limits
        )
        ctx.token_accounts.begin_spending_record(record, now)
        removals = [encode_spending_removal(name) for name in settled]
        try:
            self._end = await ctx.store.append(
                self._stream, [encode_spending(record), *removals], self._end
            )
        except AppendUnknownError:
            self._record_failure()
        except ConditionFailedError as exc:
            ctx.token_accounts.discard_spending_record(record.number, now)
            self._end = exc.end
            return False
        except StoreReturnedError:
            ctx.token_accounts.discard_spending_record(record.number, now)
            self._end = None
        except LogUnavailableError:
            ctx.token_accounts.discard_spending_record(record.number, now)
            self._record_failure()
        else:
            self._is_failing = False
            self._written = limits
            ctx.predecessor_claims.forget(settled)
            ctx.metrics.count(SPENDING_WRITTEN)
            ctx.token_accounts.confirm_spending_record(record.number, time.monotonic())
        return True

    def _settled_predecessors(self) -> list[str]:
        """Return the incarnations whose claims need no record any more."""
        ctx = self._ctx
        if not ctx.claims_loaded or not ctx.claim_recovery.is_open:
            return []
        return ctx.predecessor_claims.settled(ctx.token_accounts.ledger)

    def _record_failure(self) -> None:
        self._is_failing = True
        self._ctx.metrics.count(SPENDING_NOT_WRITTEN)

    def _interval(self) -> float:
        hosts = self._ctx.hosts.host_count()
        return max(WRITE_INTERVAL_SECONDS, hosts * SECONDS_PER_HOST)
