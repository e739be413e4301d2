"""Log of the claims on prepaid tokens."""

from __future__ import annotations

import time

from knapweeddrum.core.prepaid.token_claim import TokenClaim
from knapweeddrum.platform.exceptions import (
    AppendUnknownError,
    ConditionFailedError,
    LogUnavailableError,
    MalformedRecordError,
    PlatformError,
    RecordsExpiredError,
)
from knapweeddrum.platform.fleet_codec import decode_token_claim, encode_token_claim
from knapweeddrum.platform.keyed_record import KeyedRecord
from knapweeddrum.platform.streams import CLAIMS_STREAM
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.telemetry.counters import (
    CLAIM_CONFLICT,
    CLAIM_NOT_WRITTEN,
    CLAIM_RECORDS_READ,
    CLAIM_UNKNOWN,
    CLAIM_WRITTEN,
)
from knapweeddrum.telemetry.events import (
    CLAIM_FAILED,
    DEPENDENCY_READY,
    ENTRY_IGNORED,
    TOKENS_CLAIMED,
    TOKENS_FREED,
    WAITING,
)

FAILURE_COUNTERS: dict[type[PlatformError], str] = {
    ConditionFailedError: CLAIM_CONFLICT,
    LogUnavailableError: CLAIM_NOT_WRITTEN,
    AppendUnknownError: CLAIM_UNKNOWN,
}


class TokenClaimLog:
    """Writes claims and applies the claims of all hosts to the token accounts.

    Calls must not overlap.
    """

    def __init__(self, ctx: EntryContext) -> None:
        self._ctx = ctx
        self._read_at = float("-inf")
        self.is_store_unreachable = False
        """Whether a call to the store failed and none has succeeded since."""
        self.is_writable = True
        """Whether the store carried out, or rejected as too late, the last write."""
        self.lost_in_row = 0
        """Writes since the last success before which another host had written."""

    @property
    def age(self) -> float:
        """Return the seconds since the claims were last up to date."""
        return time.monotonic() - self._read_at

    async def write(self, claims: list[TokenClaim]) -> bool:
        """Write claims; return whether they are known to be stored.

        The write fails if the stream has claims that the ledger does not have yet.
        """
        ctx = self._ctx
        expected_end = ctx.token_accounts.ledger.end
        try:
            end = await ctx.store.append(
                CLAIMS_STREAM,
                [encode_token_claim(claim) for claim in claims],
                expected_end,
            )
        except (ConditionFailedError, LogUnavailableError, AppendUnknownError) as exc:
            self.is_writable = isinstance(exc, ConditionFailedError)
            if self.is_writable:
                self.lost_in_row += 1
            else:
                self._record_failure(exc)
            if not isinstance(exc, AppendUnknownError):
                ctx.token_accounts.record_not_written()
            ctx.events.emit(
                CLAIM_FAILED,
                ledger_end=expected_end,
                error=repr(exc),
                lost_in_row=self.lost_in_row,
            )
            ctx.metrics.count(FAILURE_COUNTERS[type(exc)])
            return False
        self.is_writable = True
        ctx.metrics.count(CLAIM_WRITTEN)
        for offset, claim in enumerate(claims, start=expected_end):
            ctx.token_accounts.ledger.apply(offset, claim)
        ctx.token_accounts.ledger.advance(end)
        ctx.token_accounts.apply_ledger()
        self._record_success()
        self._log_written(claims, expected_end)
        self.lost_in_row = 0
        return True

    async def load(self) -> bool:
        """Read all claims for the first time; return whether the store answered."""
        return await self._read_listing() and await self.read()

    async def read(self) -> bool:
        """Apply the claims not yet read; return whether the store answered."""
        ledger = self._ctx.token_accounts.ledger
        try:
            while True:
                page = await self._ctx.store.read(CLAIMS_STREAM, ledger.end)
                self._apply(page.records)
                ledger.advance(page.next_offset)
                if page.complete:
                    break
        except RecordsExpiredError:
            if not await self._read_listing():
                return False
        except LogUnavailableError as exc:
            self._record_failure(exc)
            return False
        self._record_success()
        self._ctx.token_accounts.apply_ledger()
        return True

    async def _read_listing(self) -> bool:
        """List each incarnation's newest claim; return whether the store answered."""
        try:
            listing = await self._ctx.store.list_newest(CLAIMS_STREAM)
        except LogUnavailableError as exc:
            self._record_failure(exc)
            return False
        self._apply(listing.records)
        self._ctx.token_accounts.ledger.advance(listing.next_offset)
        return True

    def _apply(self, records: tuple[KeyedRecord, ...]) -> None:
        self._ctx.metrics.count(CLAIM_RECORDS_READ, len(records))
        with self._ctx.claim_meter.measure():
            for record in records:
                self._apply_record(record)

    def _apply_record(self, record: KeyedRecord) -> None:
        try:
            claim = decode_token_claim(record)
        except MalformedRecordError as exc:
            self._ctx.events.emit(
                ENTRY_IGNORED, key=record.key, offset=record.offset, error=str(exc)
            )
            return
        self._ctx.token_accounts.ledger.apply(record.offset, claim)

    def _log_written(self, claims: list[TokenClaim], offset: int) -> None:
        ctx = self._ctx
        own = [claim for claim in claims if claim.incarnation == ctx.incarnation]
        if own:
            ctx.events.emit(
                TOKENS_CLAIMED,
                offset=offset,
                claims={claim.organisation: claim.claimed for claim in own},
                lost_before=self.lost_in_row,
            )
        for claim in claims:
            if claim.incarnation != ctx.incarnation:
                ctx.events.emit(
                    TOKENS_FREED,
                    organisation=claim.organisation,
                    holder=claim.incarnation,
                    kept=claim.claimed,
                )

    def _record_failure(self, exc: PlatformError) -> None:
        if not self.is_store_unreachable:
            self.is_store_unreachable = True
            self._ctx.events.emit(WAITING, dependency=CLAIMS_STREAM, error=str(exc))

    def _record_success(self) -> None:
        self._read_at = time.monotonic()
        if self.is_store_unreachable:
            self.is_store_unreachable = False
            self._ctx.events.emit(DEPENDENCY_READY, dependency=CLAIMS_STREAM)
