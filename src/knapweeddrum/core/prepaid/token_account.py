"""Prepaid tokens of one organisation at one host."""

from __future__ import annotations

import math
from collections.abc import Collection, Sequence

from knapweeddrum.core.prepaid.spending_limits import NO_LIMIT
from knapweeddrum.core.prepaid.unresolved_claim_write import UnresolvedClaimWrite

DEMAND_DECAY_SECONDS = 10.0
"""Time constant with which recorded demand decays exponentially."""

MIN_DEMAND_WINDOW_SECONDS = 2.0
"""Shortest time over which the demand of a new account is averaged."""

UNLOCK_AHEAD_SECONDS = 0.5
"""Duration of demand for which tokens are unlocked before requests need them.

A killed host loses its unlocked tokens, as its witness releases only locked ones.
"""

SPENDING_BURST_REQUESTS = 4
"""Largest recent requests that the spending limit is ahead of what is committed."""

SPENDING_BURST_SECONDS = 0.25
"""Duration of demand by which it is ahead besides."""

SPENDING_RATE_FACTOR = 1.5
"""Growth of the spending limit, as a multiple of the recent demand.

It serves demand that rises while the store is away; the rest is stranded by a kill.
"""


class TokenAccount:
    """What this incarnation may spend, has spent and has reserved, in tokens.

    ``confirmed`` is the claim in the log and ``intended`` the one that this process
    wants. The process may spend the lower of the two, and no more than an unresolved
    write would leave it, so a claim that was lowered is never overdrawn. Of these
    tokens it spends only ``unlocked`` without asking the witness again, because the
    witness releases the locked rest once this process has failed.
    """

    def __init__(self, now: float) -> None:
        self.confirmed = 0
        self.intended = 0
        self.unlocked = 0
        self.spending_limit = NO_LIMIT
        """Most that may be spent, reserved or lent, less what is borrowed.

        The next incarnation of this host relies on it.
        """
        self.witness = ""
        """Incarnation whose consent unlocks more, empty if no consent is needed."""
        self.refusing_witnesses: set[str] = set()
        """Incarnations that have refused to unlock more of this account."""
        self.introduced_witness = ""
        """Witness that has answered this holder, so that it knows of the claim."""
        self.unresolved_write: UnresolvedClaimWrite | None = None
        self.spent = 0
        self.reserved = 0
        self.lent_tokens = 0
        """Tokens lent to other hosts; loans are not paid back."""
        self.borrowed_tokens = 0
        """Tokens lent by other hosts, covered by their claims."""
        self.largest_request = 0
        """Largest recent request in tokens; decreases by 1/64 with each request."""
        self._decayed_demand = 0.0
        self._decayed_at = now
        self._created_at = now

    @property
    def used(self) -> int:
        """Return the tokens that are spent, reserved or lent."""
        return self.spent + self.reserved + self.lent_tokens

    @property
    def committed(self) -> int:
        """Return the used tokens that this host's own claim must cover."""
        return max(0, self.used - self.borrowed_tokens)

    @property
    def free(self) -> int:
        """Return the tokens that may be reserved or lent."""
        most = min(self.claimed, self.unlocked, self.spending_limit)
        return most + self.borrowed_tokens - self.used

    def is_limited(self, tokens: int) -> bool:
        """Return whether a higher limit would let some of ``tokens`` be unlocked."""
        if self.spending_limit >= self.claimed:
            return False
        return self.spending_limit + self.borrowed_tokens - self.used < tokens

    @property
    def locked(self) -> int:
        """Return the claimed tokens that the witness may unlock up to the limit."""
        return max(0, min(self.claimed, self.spending_limit) - self.unlocked)

    @property
    def needs_introduction(self) -> bool:
        """Return whether the witness may not know what this host may spend."""
        return self.confirmed > 0 and self.witness != self.introduced_witness

    @property
    def is_replacing_witness(self) -> bool:
        """Return whether an unresolved write names another witness."""
        return (
            self.unresolved_write is not None and self.unresolved_write.replaces_witness
        )

    @property
    def claimed(self) -> int:
        """Return the tokens that are set aside for this process, locked or unlocked."""
        claimed = min(self.confirmed, self.intended)
        return (
            min(claimed, self.unresolved_write.claimed)
            if self.unresolved_write
            else claimed
        )

    def next_unlocked_limit(self, tokens: int, now: float) -> int:
        """Return the unlocked limit that frees ``tokens`` and some demand ahead."""
        ahead = int(self.demand_rate(now) * UNLOCK_AHEAD_SECONDS)
        return max(self.unlocked, self.used - self.borrowed_tokens + tokens + ahead)

    def next_spending_limit(self, tokens: int, now: float) -> int:
        """Return the spending limit that frees ``tokens`` and a burst beyond them."""
        requests = SPENDING_BURST_REQUESTS * self.largest_request
        burst = requests + int(self.demand_rate(now) * SPENDING_BURST_SECONDS)
        return self.committed + tokens + burst

    def spending_rate(self, now: float) -> float:
        """Return by how many tokens a second the spending limit grows."""
        return float(int(self.demand_rate(now) * SPENDING_RATE_FACTOR))

    def choose_witness(
        self, candidates: Sequence[str], silent: Collection[str] = ()
    ) -> str:
        """Return the present witness if it is usable, else the best; empty for none.

        One of the ``silent``, which did not answer lately, is the last choice.
        """
        usable = [name for name in candidates if name not in self.refusing_witnesses]
        answering = [name for name in usable if name not in silent] or usable
        if self.witness in answering:
            return self.witness
        return answering[0] if answering else ""

    def needs_unlocking(self, now: float) -> bool:
        """Return whether to ask the witness ahead of demand.

        That is, if less than half of the demand to unlock in advance is free, or if
        the witness may not know that it was named.
        """
        if self.needs_introduction:
            return True
        return (
            self.locked > 0
            and self.free < self.demand_rate(now) * UNLOCK_AHEAD_SECONDS / 2
        )

    def reserve(self, tokens: int) -> bool:
        """Reserve tokens if they are free; return whether they were."""
        if tokens > self.free:
            return False
        self.reserved += tokens
        return True

    def lend(self, shortfall: int, wanted: int) -> int:
        """Lend tokens to another host and return how many.

        Lends half of the free tokens, so that both hosts can go on, or ``shortfall``,
        what the waiting request there lacks, if that is more. A shortfall beyond the
        free tokens takes all of them: where each host has too few tokens for a request,
        the loans of several hosts together serve it. ``wanted`` bounds the loan.
        """
        tokens = min(wanted, self.free, max(shortfall, self.free // 2))
        if tokens <= 0:
            return 0
        self.lent_tokens += tokens
        return tokens

    def cancel_loan(self, tokens: int) -> None:
        """Take back tokens of a loan that the other host can't have received."""
        self.lent_tokens -= tokens

    def credit_loan(self, tokens: int) -> None:
        """Add tokens that another host has lent; call it once for each loan."""
        self.borrowed_tokens += tokens

    def settle(self, reserved: int, spent: int) -> None:
        """Replace a reservation by what was spent of it."""
        self.reserved -= reserved
        self.spent += min(spent, reserved)

    def record_demand(self, tokens: int, now: float) -> None:
        """Record the demand of one request."""
        self.record_lent_demand(tokens, tokens, now)

    def record_lent_demand(self, tokens: int, request_tokens: int, now: float) -> None:
        """Record the tokens lent for demand at another host, and of one request."""
        self._decay(now)
        self._decayed_demand += tokens
        self.largest_request = max(
            request_tokens, self.largest_request - self.largest_request // 64
        )

    def demand_rate(self, now: float) -> float:
        """Return the recent demand in tokens per second."""
        self._decay(now)
        age = max(MIN_DEMAND_WINDOW_SECONDS, now - self._created_at)
        window = DEMAND_DECAY_SECONDS * (1.0 - math.exp(-age / DEMAND_DECAY_SECONDS))
        return self._decayed_demand / window

    def _decay(self, now: float) -> None:
        elapsed = max(0.0, now - self._decayed_at)
        self._decayed_demand *= math.exp(-elapsed / DEMAND_DECAY_SECONDS)
        self._decayed_at = now
