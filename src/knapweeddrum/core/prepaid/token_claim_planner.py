"""How many prepaid tokens a host claims."""

from __future__ import annotations

import dataclasses

from knapweeddrum.core.prepaid.token_account import TokenAccount

RESERVE_DEMAND_SECONDS = 9.0
"""Demand that a host holds tokens for, so that it serves through an outage."""

MAX_RESERVE_FRACTION = 0.6
"""Part of the tokens left that all hosts together hold in reserve at most."""

MIN_RESERVE_FRACTION = 0.05
"""The same for a budget of which RESERVE_END or less is left."""

FULL_RESERVE_ABOVE = 0.42
"""Part of a budget that is left when the reserve begins to give way."""

MIN_RESERVE_BELOW = 0.22
"""Part of a budget that is left when the reserve is at its least."""

NO_RESERVE_BELOW = 0.06
"""Part of the prepaid tokens below which no host holds a reserve."""

IDLE_RESERVE_FRACTION = 0.7
"""Part of the largest request lately that a host holds for each organisation."""

PRIOR_SPENDING_FRACTION = 0.3
"""Part of the largest request lately that each host is taken to have spent."""

REFILL_FACTOR = 0.85
"""A reserve is refilled when it falls below this part of its target."""

RETURN_FACTOR = 1.5
"""A reserve is lowered when it rises above this multiple of its target."""


@dataclasses.dataclass(frozen=True, slots=True)
class TokenClaimInputs:
    """What a plan for one organisation rests on; all figures in tokens."""

    prepaid: int
    claimed_by_all: int
    waiting_tokens: int
    """Tokens of the requests that wait for a claim and fit."""
    hosts: int
    committed_by_all: int
    """Tokens that all hosts together are known to have spent or reserved."""
    host_largest_request: int
    """Largest request that this host has seen lately from any organisation."""


class TokenClaimPlanner:
    """Sizes the claim of one host.

    Serves the load of a fleet with steady demand, in which the store may be away for
    some seconds: a host holds the demand of HORIZON_SECONDS. Answers a budget that
    nears its end: what strands with killed hosts weighs more, the less is left beside
    it, so the reserve gives way, and under LOW_FRACTION a host claims only what waiting
    requests need and hands the rest back. Callers of one organisation may all come to
    one host, so hosts share what is left by what each has spent.
    """

    def plan(self, account: TokenAccount, inputs: TokenClaimInputs, now: float) -> int:
        """Return the tokens to claim in all; never below what is committed."""
        excess = inputs.claimed_by_all - inputs.prepaid
        if excess > 0:
            # The amount was lowered; which host gives way shows in the next plan.
            return max(account.committed, account.confirmed - excess)
        own_free = account.confirmed + account.borrowed_tokens - account.used
        unclaimed = max(0, inputs.prepaid - inputs.claimed_by_all)
        needed = max(0, account.used + inputs.waiting_tokens - account.borrowed_tokens)
        target = self._reserve(account, inputs, unclaimed + max(0, own_free), now)
        spare = own_free - inputs.waiting_tokens
        in_range = target * REFILL_FACTOR <= spare <= target * RETURN_FACTOR
        if in_range and inputs.waiting_tokens <= own_free:
            return account.confirmed
        ceiling = account.confirmed + unclaimed
        return max(account.committed, min(ceiling, needed + target))

    def _reserve(
        self,
        account: TokenAccount,
        inputs: TokenClaimInputs,
        available: int,
        now: float,
    ) -> int:
        if is_low(available, inputs.prepaid):
            return 0
        scale = reserve_scale(available / max(1, inputs.prepaid))
        fraction = (
            MIN_RESERVE_FRACTION + (MAX_RESERVE_FRACTION - MIN_RESERVE_FRACTION) * scale
        )
        share = int(available * fraction * self._demand_share(account, inputs))
        demand = account.demand_rate(now) * RESERVE_DEMAND_SECONDS
        # A host without demand of an organisation may be sent its next request.
        one_request = max(
            account.largest_request, inputs.host_largest_request * IDLE_RESERVE_FRACTION
        )
        return min(share, int(demand + one_request * scale))

    def _demand_share(self, account: TokenAccount, inputs: TokenClaimInputs) -> float:
        """Return this host's part of the demand; equal parts while nothing is known."""
        prior = max(
            1.0,
            PRIOR_SPENDING_FRACTION
            * max(account.largest_request, inputs.host_largest_request),
        )
        own = account.committed + prior
        others = max(0, inputs.committed_by_all - account.committed)
        return own / (own + others + prior * max(0, inputs.hosts - 1))


def is_low(available: int, prepaid: int) -> bool:
    """Return whether so little is left that no host holds a reserve."""
    return available < prepaid * NO_RESERVE_BELOW


def reserve_scale(fraction_left: float) -> float:
    """Return how far a reserve is allowed, 0 to 1, by the part of the budget left."""
    ratio = (fraction_left - MIN_RESERVE_BELOW) / (
        FULL_RESERVE_ABOVE - MIN_RESERVE_BELOW
    )
    return min(1.0, max(0.0, ratio))
