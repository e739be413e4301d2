"""Allocation of prepaid tokens to requests."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Iterator

import anyio

from knapweeddrum.core.prepaid.token_claim import TokenClaim
from knapweeddrum.core.prepaid.token_claim_ledger import TokenClaimLedger
from knapweeddrum.core.prepaid.token_verdict import TokenVerdict
from knapweeddrum.process.entry.claim_recovery_task import ClaimRecoveryTask
from knapweeddrum.process.entry.entry_context import EntryContext
from knapweeddrum.process.entry.spending_task import SpendingTask
from knapweeddrum.process.entry.token_borrower import HINDERED_SECONDS, TokenBorrower
from knapweeddrum.process.entry.token_claim_log import TokenClaimLog
from knapweeddrum.process.entry.token_unlocker import TokenUnlocker
from knapweeddrum.process.entry.token_waiter import TokenWaiter
from knapweeddrum.process.entry.token_waiters import TokenWaiters
from knapweeddrum.process.entry.token_witness import release_claims_of_failed_hosts
from knapweeddrum.telemetry.counters import CLAIM_GIVEN_UP
from knapweeddrum.value.store_position import offset_of

MAX_CLAIMS_AGE_SECONDS = 2.0
"""Age at which the known claims are read again by a host that claims."""
IDLE_CLAIMS_AGE_SECONDS = 5.0
"""The same for a host that only witnesses other hosts' claims."""
CLAIM_INTERVAL_SECONDS = 1.0
"""Mean interval at which claims are planned while no request waits."""
START_POLL_SECONDS = 0.1
"""Interval of plans while this host does not know yet which tokens it owns."""
BORROW_DELAY_SECONDS = 0.08
"""Time for which a request waits for a claim before other hosts are asked for loans."""
RESERVE_TIMEOUT_SECONDS = 0.3
"""Time after which a request that waits for a claim is refused with a retry-after."""
MIN_CLAIM_WAIT_SECONDS = 0.15
"""Least time for a claim of this host, after other hosts were asked in vain."""
STORE_RETRY_SECONDS = 0.1
BACK_OFF_SECONDS = 0.005
"""Half of the longest pause after a first write that lost its race."""
MAX_BACK_OFF_SECONDS = 0.16
MAX_CLAIM_ATTEMPTS = 6
"""Attempts to write claims; each may fail because another host wrote first."""


class TokenAllocator:
    """Reserves tokens for requests and claims more tokens when needed.

    It is the only writer of this incarnation's claims. It also writes the reduced
    claims of failed hosts for which this host is the witness.
    """

    def __init__(
        self,
        ctx: EntryContext,
        unlocker: TokenUnlocker,
        borrower: TokenBorrower,
        spending: SpendingTask,
    ) -> None:
        self._ctx = ctx
        self._spending = spending
        self._unlocker = unlocker
        self._borrower = borrower
        self._waiters = TokenWaiters()
        self._wake = anyio.Event()
        self._log = TokenClaimLog(ctx)
        self._owned: frozenset[str] = frozenset()
        self._claim_lock = anyio.Lock()
        """Held from planning claims until the outcome of their write."""
        self._recovery = ClaimRecoveryTask(ctx, self._log)
        self._is_closed = False
        self._cut_off_until = float("-inf")
        """Time until which neither owners nor the store are expected to answer."""

    async def run(self) -> None:
        """Read the claims of all hosts, then plan and write claims until cancelled."""
        while not self._ctx.claims_loaded:
            self._ctx.claims_loaded = await self._log.load()
            if not self._ctx.claims_loaded:
                await anyio.sleep(STORE_RETRY_SECONDS)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._recovery.run)
            await self._claim_until_cancelled()

    async def _claim_until_cancelled(self) -> None:
        while True:
            if not self._waiters:
                with anyio.move_on_after(self._interval()):
                    await self._wake.wait()
            self._wake = anyio.Event()
            async with self._claim_lock:
                await self._serve_and_claim()

    async def reserve(self, organisation: str, tokens: int) -> TokenVerdict:
        """Reserve tokens; if too few are free, unlock, claim or borrow them."""
        token_accounts = self._ctx.token_accounts
        now = time.monotonic()
        account = token_accounts.account(organisation, now)
        account.record_demand(tokens, now)
        if account.reserve(tokens):
            self._borrower.refill_soon(organisation)
            return TokenVerdict.RESERVED
        if await self.unlock(organisation, tokens) and account.reserve(tokens):
            return TokenVerdict.RESERVED
        if not self._ctx.token_owners_before(organisation):
            return await self._claim_or_borrow(organisation, tokens)
        verdict = await self._borrower.borrow(organisation, tokens)
        if verdict is TokenVerdict.RESERVED and account.reserve(tokens):
            return TokenVerdict.RESERVED
        if verdict in (TokenVerdict.EXHAUSTED, TokenVerdict.HELD_ELSEWHERE):
            return verdict
        return await self._claim_without_owner(organisation, tokens, now)

    async def _claim_without_owner(
        self, organisation: str, tokens: int, began_at: float
    ) -> TokenVerdict:
        """Claim tokens as the owner can't be reached.

        While this host's own full link keeps it from both, requests are refused at
        once, but for one in HINDERED_SECONDS that tries.
        """
        now = time.monotonic()
        if self._cut_off_until > now:
            return TokenVerdict.UNREACHABLE
        is_hindered = self._borrower.is_hindered(organisation)
        timeout = MIN_CLAIM_WAIT_SECONDS
        if not is_hindered:
            timeout = max(timeout, RESERVE_TIMEOUT_SECONDS - (now - began_at))
        verdict = await self.claim(organisation, tokens, timeout)
        if is_hindered and verdict is TokenVerdict.UNREACHABLE:
            self._cut_off_until = time.monotonic() + HINDERED_SECONDS
        return verdict

    async def _claim_or_borrow(self, organisation: str, tokens: int) -> TokenVerdict:
        """Reserve tokens as their owner; other hosts hold what can't be claimed."""
        now = time.monotonic()
        account = self._ctx.token_accounts.account(organisation, now)
        with self._waiting_for(organisation, tokens) as waiter:
            await waiter.wait(BORROW_DELAY_SECONDS)
            if waiter.verdict in (TokenVerdict.RESERVED, TokenVerdict.EXHAUSTED):
                return waiter.verdict
            await self._borrower.borrow(organisation, tokens)
            if waiter.is_reserved or account.reserve(tokens):
                return TokenVerdict.RESERVED
            await waiter.wait(RESERVE_TIMEOUT_SECONDS - (time.monotonic() - now))
            return waiter.verdict or TokenVerdict.UNREACHABLE

    async def unlock(self, organisation: str, tokens: int) -> bool:
        """Unlock claimed tokens; return whether ``tokens`` are free now."""
        await self._spending.renew({organisation: tokens})
        account = self._ctx.token_accounts.account(organisation, time.monotonic())
        unlockable = min(tokens, account.free + account.locked)
        if unlockable > account.free:
            await self._unlocker.unlock(organisation, unlockable)
        return tokens <= account.free

    async def claim(
        self, organisation: str, tokens: int, timeout: float
    ) -> TokenVerdict:
        """Reserve tokens from the next claim, within ``timeout`` seconds."""
        with self._waiting_for(organisation, tokens) as waiter:
            await waiter.wait(timeout)
            return waiter.verdict or TokenVerdict.UNREACHABLE

    @contextlib.contextmanager
    def _waiting_for(self, organisation: str, tokens: int) -> Iterator[TokenWaiter]:
        """Queue for the next claim; undo the reservation if the body raises."""
        waiter = TokenWaiter(organisation, tokens)
        if self._log.is_store_unreachable:
            waiter.finish(TokenVerdict.UNREACHABLE)
        else:
            self._waiters.add(waiter)
            self._wake.set()
        try:
            yield waiter
        except BaseException:
            if waiter.is_reserved:
                self.settle(organisation, tokens, 0)
            raise
        finally:
            self._waiters.discard(waiter)

    def settle(self, organisation: str, reserved: int, spent: int) -> None:
        """Free what a request has not spent of its reservation."""
        account = self._ctx.token_accounts.account(organisation, time.monotonic())
        account.settle(reserved, spent)

    @property
    def can_claim(self) -> bool:
        """Return whether the store took this host's last calls about claims."""
        if not self._ctx.claim_recovery.is_open:
            return False
        return self._log.is_writable and not self._log.is_store_unreachable

    def refusal_verdict(self, organisation: str, tokens: int) -> TokenVerdict:
        """Return why tokens can't be reserved here, by what is known of the claims."""
        if not self._ctx.claim_recovery.is_open:
            return TokenVerdict.UNKNOWN
        if self._log.is_store_unreachable or self._log.age > MAX_CLAIMS_AGE_SECONDS:
            return TokenVerdict.UNREACHABLE
        if self._ctx.token_owners_before(organisation):
            # Only the owner knows what of its loans is unused.
            return TokenVerdict.HELD_ELSEWHERE
        outstanding = self._ctx.loans.outstanding(organisation, time.monotonic())
        return self._ctx.token_accounts.refusal_verdict(
            organisation, tokens, outstanding
        )

    def describe(self, organisation: str) -> str:
        """Return the data behind a refusal for lack of tokens."""
        token_accounts = self._ctx.token_accounts
        account = token_accounts.account(organisation, time.monotonic())
        return (
            f"free here {account.free}, claimed by all "
            f"{token_accounts.ledger.claimed(organisation)} of "
            f"{token_accounts.prepaid(organisation)}, "
            f"claims up to offset {offset_of(token_accounts.ledger.end)} "
            f"read {self._log.age:.1f} s ago, "
            f"{self._log.lost_in_row} claims lost in a row"
        )

    async def return_unused(self) -> bool:
        """Give unused tokens back; return whether the store accepted this host's."""
        await self._borrower.return_all()
        async with self._claim_lock:
            self._is_closed = True
            for _ in range(MAX_CLAIM_ATTEMPTS):
                if not self._ctx.claim_recovery.is_open:
                    return False
                claims = self._ctx.token_accounts.plan_return(time.monotonic())
                if not claims or await self._log.write(claims):
                    await self._recovery.leave()
                    return True
                if not await self._log.read():
                    return False
            return False

    async def _serve_and_claim(self) -> None:
        """Serve the waiters, claiming the tokens that they lack."""
        self._owned = self._owned_organisations()
        if not self._ctx.claim_recovery.is_open:
            self._reserve_for_waiters()
            await self._fail_waiters(TokenVerdict.UNKNOWN)
            return
        is_old = self._log.is_store_unreachable or self._log.age > self._max_age()
        if self._is_closed or (is_old and not await self._log.read()):
            await self._fail_waiters()
            return
        for _ in range(MAX_CLAIM_ATTEMPTS):
            self._reserve_for_waiters()
            claims = self._plan()
            if claims and await self._log.write(claims):
                await self._spending.renew(self._waiters.totals())
                await self._unlock(claims)
                self._reserve_for_waiters()
                claims = []
            if not claims and not self._waiters:
                return
            await self._back_off()
            if not await self._log.read():
                await self._fail_waiters()
                return
            if not claims:
                await self._spending.renew(self._waiters.totals())
                await self._unlocker.unlock_all(self._waiters.totals())
                self._reserve_for_waiters()
                self._refuse_unservable()
                return
        self._ctx.metrics.count(CLAIM_GIVEN_UP)

    async def _unlock(self, claims: list[TokenClaim]) -> None:
        """Ask for the consent to spend what was claimed, by need."""
        waiting = self._waiters.totals()
        wanted = {
            claim.organisation: waiting.get(claim.organisation, 0)
            for claim in claims
            if claim.incarnation == self._ctx.incarnation
        }
        await self._unlocker.unlock_all(wanted)

    async def _back_off(self) -> None:
        """Wait for a random time after writes that lost their race, longer for more.

        Requests that come meanwhile are served by the same write.
        """
        lost = self._log.lost_in_row
        if lost:
            longest = min(MAX_BACK_OFF_SECONDS, BACK_OFF_SECONDS * 2.0**lost)
            await anyio.sleep(self._ctx.rng.uniform(0.0, longest))

    def _plan(self) -> list[TokenClaim]:
        ctx = self._ctx
        with ctx.claim_meter.measure():
            own = ctx.token_accounts.plan_claims(
                self._waiters.by_organisation(),
                self._owned,
                time.monotonic(),
                self._unlocker.witnesses(),
                holds_start_reserve=ctx.knows_fleet,
                silent_witnesses=self._unlocker.silent_witnesses(),
            )
            failed = release_claims_of_failed_hosts(ctx)
            return own + failed + self._claims_of_predecessors()

    def _claims_of_predecessors(self) -> list[TokenClaim]:
        """Return what remains of earlier incarnations' claims.

        A witness that lives knows better what was spent, and releases more.
        """
        ctx = self._ctx
        running = {host.incarnation for host in ctx.hosts.running_hosts()}
        ledger = ctx.token_accounts.ledger
        return [
            claim
            for claim in ctx.predecessor_claims.releases(ledger)
            if _witness(ledger, claim) not in running
        ]

    def _interval(self) -> float:
        """Return the time until claims are planned if no request comes."""
        if not self._ctx.knows_fleet:
            return START_POLL_SECONDS
        return CLAIM_INTERVAL_SECONDS * self._ctx.rng.uniform(0.7, 1.3)

    def _owned_organisations(self) -> frozenset[str]:
        """Return the organisations whose tokens this host claims for all hosts."""
        return frozenset(
            organisation
            for organisation in self._ctx.token_accounts.prepaid_organisations()
            if not self._ctx.token_owners_before(organisation)
        )

    def _max_age(self) -> float:
        if self._owned or self._waiters:
            return MAX_CLAIMS_AGE_SECONDS
        return IDLE_CLAIMS_AGE_SECONDS

    def _reserve_for_waiters(self) -> None:
        """Reserve tokens for each waiter for which enough are free."""
        self._ctx.token_accounts.apply_ledger()
        now = time.monotonic()
        for waiter in self._waiters:
            account = self._ctx.token_accounts.account(waiter.organisation, now)
            if account.reserve(waiter.tokens):
                self._waiters.finish(waiter, TokenVerdict.RESERVED)

    def _refuse_unservable(self) -> None:
        """Refuse the waiters that need more tokens than this host could claim."""
        now = time.monotonic()
        for waiter in self._waiters:
            token_accounts = self._ctx.token_accounts
            if token_accounts.max_reservable(waiter.organisation, now) < waiter.tokens:
                verdict = self.refusal_verdict(waiter.organisation, waiter.tokens)
                self._waiters.finish(waiter, verdict)

    async def _fail_waiters(
        self, verdict: TokenVerdict = TokenVerdict.UNREACHABLE
    ) -> None:
        for waiter in self._waiters:
            self._waiters.finish(waiter, verdict)
        await anyio.sleep(STORE_RETRY_SECONDS)


def _witness(ledger: TokenClaimLedger, claim: TokenClaim) -> str:
    """Return the witness of the stored claim that ``claim`` reduces."""
    stored = ledger.claim_of(claim.organisation, claim.incarnation)
    return stored.witness if stored is not None else ""
