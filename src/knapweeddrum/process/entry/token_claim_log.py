"""Log of the claims on prepaid tokens."""

from __future__ import annotations

import time

from knapweeddrum.core.prepaid.claim_check_in import ClaimCheckIn
from knapweeddrum.core.prepaid.claim_opening import ClaimOpening
from knapweeddrum.core.prepaid.token_claim import TokenClaim
from knapweeddrum.core.prepaid.token_claim_ledger import TokenClaimLedger
from knapweeddrum.platform.claim_codec import decode_claim_record
from knapweeddrum.platform.exceptions import (
    AppendUnknownError,
    ConditionFailedError,
    LogUnavailableError,
    MalformedRecordError,
    PlatformError,
    RecordsExpiredError,
    StoreReturnedError,
)
from knapweeddrum.platform.fleet_codec import encode_token_claim
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
from knapweeddrum.telemetry.entry_events import (
    CLAIM_FAILED,
    TOKENS_CLAIMED,
    TOKENS_FREED,
)
from knapweeddrum.telemetry.events import DEPENDENCY_READY, WAITING
from knapweeddrum.value.store_position import era_of, offset_of

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
        except StoreReturnedError:
            ctx.token_accounts.record_not_written()
            return False
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
                ledger_end=offset_of(expected_end),
                error=repr(exc),
                lost_in_row=self.lost_in_row,
            )
            ctx.metrics.count(FAILURE_COUNTERS[type(exc)])
            return False
        if era_of(end) != ctx.claim_recovery.era:
            # The store has returned since its answer arrived.
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
        """Read all claims for the first time; return whether the store answered.

        The claims of an older copy are not applied, as they are incomplete.
        """
        view = await self.list_claims()
        if view is None:
            return False
        if self._ctx.claim_recovery.is_open:
            self.adopt(view)
            return await self.read()
        return True

    async def read(self) -> bool:
        """Apply the claims not yet read; return whether the store answered.

        False also if the store has come back from an older copy.
        """
        ctx = self._ctx
        try:
            is_read = await self.read_into(ctx.token_accounts.ledger)
        except StoreReturnedError:
            return False
        except RecordsExpiredError:
            view = await self.list_claims()
            is_read = view is not None and ctx.claim_recovery.is_open
            if view is not None and is_read:
                self.adopt(view)
        if is_read:
            ctx.token_accounts.apply_ledger()
        return is_read

    async def list_claims(self) -> TokenClaimLedger | None:
        """Return each incarnation's newest claim, None without an answer.

        What else the stream holds is told to the recovery.
        """
        try:
            listing = await self._ctx.store.list_newest(
                CLAIMS_STREAM, self._record_late
            )
        except LogUnavailableError as exc:
            self._record_failure(exc)
            return None
        self._ctx.claim_recovery.enter_era(era_of(listing.next_offset))
        view = TokenClaimLedger()
        self._apply(view, listing.records)
        view.advance(listing.next_offset)
        self._record_success()
        return view

    async def read_into(self, view: TokenClaimLedger, wait: float = 0.0) -> bool:
        """Apply what a ledger lacks; return whether the store answered.

        The first read waits up to ``wait`` seconds for a record. Raises
        RecordsExpiredError and StoreReturnedError.
        """
        try:
            while True:
                page = await self._ctx.store.read(
                    CLAIMS_STREAM, view.end, wait, self._record_late
                )
                self._apply(view, page.records)
                view.advance(page.next_offset)
                if page.complete:
                    break
                wait = 0.0
        except LogUnavailableError as exc:
            self._record_failure(exc)
            return False
        self._record_success()
        return True

    def adopt(self, view: TokenClaimLedger) -> None:
        """Replace what is known of the claims by all claims of the present era."""
        ctx = self._ctx
        ctx.token_accounts.adopt(view)
        ctx.claim_recovery.record_complete()
        ctx.claims_known_from = min(ctx.claims_known_from, time.monotonic())

    def _apply(
        self, ledger: TokenClaimLedger, records: tuple[KeyedRecord, ...]
    ) -> None:
        self._ctx.metrics.count(CLAIM_RECORDS_READ, len(records))
        with self._ctx.claim_meter.measure():
            for record in records:
                self._apply_record(ledger, record)

    def _apply_record(self, ledger: TokenClaimLedger, record: KeyedRecord) -> None:
        try:
            decoded = decode_claim_record(record)
        except MalformedRecordError as exc:
            self._ctx.record_ignored(record.key, record.offset, str(exc))
            return
        if isinstance(decoded, TokenClaim):
            ledger.apply(record.offset, decoded)
        elif isinstance(decoded, ClaimCheckIn):
            self._ctx.claim_recovery.apply_check_in(decoded)
        elif isinstance(decoded, ClaimOpening):
            self._ctx.claim_recovery.apply_opening(decoded.era)

    def _log_written(self, claims: list[TokenClaim], offset: int) -> None:
        ctx = self._ctx
        own = [claim for claim in claims if claim.incarnation == ctx.incarnation]
        if own:
            ctx.events.emit(
                TOKENS_CLAIMED,
                offset=offset_of(offset),
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
        self._record_lost(str(exc))

    def _record_late(self) -> None:
        """Let requests wait no longer for an answer that may come in yet."""
        self._record_lost("the answer is late")

    def _record_lost(self, error: str) -> None:
        if not self.is_store_unreachable:
            self.is_store_unreachable = True
            self._ctx.events.emit(WAITING, dependency=CLAIMS_STREAM, error=error)

    def _record_success(self) -> None:
        self._read_at = time.monotonic()
        if self.is_store_unreachable:
            self.is_store_unreachable = False
            self._ctx.events.emit(DEPENDENCY_READY, dependency=CLAIMS_STREAM)
