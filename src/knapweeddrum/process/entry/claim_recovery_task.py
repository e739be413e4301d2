"""Recovers the claims after the store came back from an older copy."""

from __future__ import annotations

import time

import anyio

from knapweeddrum.core.prepaid.claim_check_in import ClaimCheckIn
from knapweeddrum.core.prepaid.claim_opening import ClaimOpening
from knapweeddrum.core.prepaid.token_claim_ledger import TokenClaimLedger
from knapweeddrum.platform.claim_codec import (
    SKIP_RECORD,
    encode_check_in,
    encode_check_in_removal,
    encode_opening,
)
from knapweeddrum.platform.exceptions import (
    AppendUnknownError,
    ConditionFailedError,
    LogUnavailableError,
    RecordsExpiredError,
)
from knapweeddrum.platform.fleet_codec import encode_token_claim
from knapweeddrum.platform.streams import CLAIMS_STREAM
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.token_claim_log import TokenClaimLog
from knapweeddrum.telemetry.counters import CLAIM_REWRITTEN
from knapweeddrum.telemetry.entry_events import (
    CLAIMS_ADOPTED,
    CLAIMS_CHECKED_IN,
    CLAIMS_OPENED,
    CLAIMS_SUSPENDED,
)
from knapweeddrum.value.store_position import offset_of

CHECK_SECONDS = 0.1
"""Interval at which it is looked whether the store has returned."""
RETRY_SECONDS = 0.1
"""Pause after a failed call to the store."""
SPREAD_SECONDS_PER_HOST = 0.004
"""Time over which the check-ins, and the reads, of a fleet are spread, a host."""
MIN_SPREAD_SECONDS = 0.03
LAST_HOST_SECONDS = 1.0
"""Time for which the era stays closed while one host has not checked in."""
SUSPENDED_LOG_SECONDS = 10.0
"""Interval of the lines that tell that claims are still suspended."""


class ClaimRecoveryTask:
    """Checks in, and opens an era of the store once enough hosts have.

    A process that started since checks in with nothing, and waits for the others.
    """

    def __init__(self, ctx: EntryContext, log: TokenClaimLog) -> None:
        self._ctx = ctx
        self._log = log
        self._begun_at = 0.0
        self._logged_at = 0.0

    async def run(self) -> None:
        """Recover after each return of the store until cancelled."""
        while True:
            if not self._is_settled:
                await self._recover()
            await anyio.sleep(CHECK_SECONDS)

    async def leave(self) -> None:
        """Tell the others that this host writes no further claims."""
        if self._ctx.claim_recovery.era:
            await self._append_check_in(self._ctx.claim_recovery.leave())

    @property
    def _is_settled(self) -> bool:
        recovery = self._ctx.claim_recovery
        return recovery.is_open and recovery.complete_era == recovery.era

    async def _recover(self) -> None:
        self._begun_at = self._logged_at = time.monotonic()
        while not self._is_settled:
            view = await self._log.list_claims()
            try:
                if view is not None and await self._follow(view):
                    return
            except RecordsExpiredError:
                # The store has returned once more, or trimmed the stream.
                continue
            await anyio.sleep(RETRY_SECONDS)

    async def _follow(self, view: TokenClaimLedger) -> bool:
        """Read on until the era is open; return False if a call failed.

        Raises RecordsExpiredError and StoreReturnedError.
        """
        recovery = self._ctx.claim_recovery
        await self._pause()
        while not recovery.is_open:
            if not await self._log.read_into(view):
                return False
            if recovery.is_open:
                break
            if self._is_first_start(view):
                await self._open(view)
            elif not recovery.has_checked_in:
                if not await self._check_in(view):
                    return False
            elif self._may_open():
                await self._open(view)
            else:
                self._log_suspension()
                await self._pause()
        self._log.adopt(view)
        self._ctx.events.emit(
            CLAIMS_ADOPTED,
            era=recovery.era,
            end=offset_of(view.end),
            after_ms=self._elapsed_ms(),
        )
        return True

    async def _check_in(self, view: TokenClaimLedger) -> bool:
        ctx = self._ctx
        check_in = ctx.claim_recovery.check_in(
            ctx.token_accounts.ledger, view, ctx.claim_witness.consents()
        )
        if not await self._append_check_in(check_in):
            return False
        ctx.events.emit(
            CLAIMS_CHECKED_IN,
            era=check_in.era,
            claims=len(check_in.claims),
            consents=len(check_in.consents),
            running=len(check_in.running),
        )
        return True

    def _may_open(self) -> bool:
        recovery = self._ctx.claim_recovery
        if not recovery.may_open:
            return False
        return not recovery.missing() or self._elapsed_ms() >= LAST_HOST_SECONDS * 1000

    def _is_first_start(self, view: TokenClaimLedger) -> bool:
        return self._ctx.claim_recovery.may_open_first(
            has_claims=any(True for _ in view.all_claims()),
            is_first_start=self._ctx.settings.is_first_start,
        )

    async def _open(self, view: TokenClaimLedger) -> None:
        """Write the claims that the copy lacks and the opening, all or nothing."""
        ctx = self._ctx
        recovery = ctx.claim_recovery
        claims = recovery.recovered_claims(view)
        skipped = recovery.skipped_offsets(view.end)
        records = [SKIP_RECORD] * skipped
        records += [encode_token_claim(claim) for claim in claims]
        records += [encode_check_in_removal(n) for n in recovery.outdated_check_ins()]
        records.append(encode_opening(ClaimOpening(recovery.era)))
        try:
            await ctx.store.append(CLAIMS_STREAM, records, view.end)
        except (ConditionFailedError, AppendUnknownError):
            return
        except LogUnavailableError:
            await anyio.sleep(RETRY_SECONDS)
            return
        ctx.metrics.count(CLAIM_REWRITTEN, len(claims))
        ctx.events.emit(
            CLAIMS_OPENED,
            era=recovery.era,
            rewritten=len(claims),
            missing=recovery.missing(),
            skipped=skipped,
            after_ms=self._elapsed_ms(),
        )

    async def _append_check_in(self, check_in: ClaimCheckIn) -> bool:
        try:
            await self._ctx.store.append(CLAIMS_STREAM, [encode_check_in(check_in)])
        except (AppendUnknownError, LogUnavailableError):
            return False
        return True

    async def _pause(self) -> None:
        """Wait for a time by which the hosts' calls to the store are spread."""
        hosts = self._ctx.hosts.running_count()
        spread = max(MIN_SPREAD_SECONDS, hosts * SPREAD_SECONDS_PER_HOST)
        await anyio.sleep(spread * self._ctx.rng.uniform(0.5, 1.5))

    def _log_suspension(self) -> None:
        now = time.monotonic()
        if now - self._logged_at < SUSPENDED_LOG_SECONDS:
            return
        self._logged_at = now
        recovery = self._ctx.claim_recovery
        self._ctx.events.emit(
            CLAIMS_SUSPENDED,
            era=recovery.era,
            missing=recovery.missing(),
            for_ms=self._elapsed_ms(),
        )

    def _elapsed_ms(self) -> int:
        return int((time.monotonic() - self._begun_at) * 1000)
