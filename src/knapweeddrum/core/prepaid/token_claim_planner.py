"""Planning of how many prepaid tokens a host claims."""

from __future__ import annotations

import dataclasses

from knapweeddrum.core.prepaid.token_account import TokenAccount

RESERVE_DEMAND_SECONDS = 9.0
"""Duration of demand that a host holds tokens for, to serve through a store outage."""

MAX_RESERVE_FRACTION = 0.6
"""Largest fraction of the tokens left that is held in reserve."""

MIN_RESERVE_FRACTION = 0.05
"""Largest fraction held in reserve when MIN_RESERVE_BELOW or less is left."""

FULL_RESERVE_ABOVE = 0.42
"""Fraction of the prepaid tokens left below which the reserve begins to decrease."""

MIN_RESERVE_BELOW = 0.22
"""Fraction of the prepaid tokens left below which MIN_RESERVE_FRACTION applies."""

NO_RESERVE_BELOW = 0.06
"""Fraction of the prepaid tokens left below which no host holds a reserve."""

IDLE_RESERVE_FRACTION = 0.7
"""Fraction of the host's largest recent request to hold for an idle organisation."""

START_RESERVE_FRACTION = 0.03
"""Fraction of the tokens left that is held before an organisation's first request.

A claim takes longer than its first requests may wait.
"""

BURST_REQUESTS = 4
"""Requests to hold beside the expected demand, as callers come in bursts.

One request is held for an organisation that has had none.
"""

REFILL_FACTOR = 0.8
"""A reserve is refilled when it falls below this multiple of its target."""

RETURN_FACTOR = 1.5
"""A reserve is lowered when it rises above this multiple of its target."""


@dataclasses.dataclass(frozen=True, slots=True)
class TokenClaimInputs:
    """Inputs of a plan for one organisation, in tokens."""

    prepaid: int
    claimed_by_all: int
    waiting_tokens: int
    """Tokens of the requests that wait for a claim and could be reserved."""
    holds_reserve: bool
    """Whether this host claims tokens for the demand at all hosts."""
    holds_start_reserve: bool
    """Whether it does so for an organisation that has had no request yet, too."""
    host_largest_request: int
    """Largest recent request at this host, from any organisation."""


class TokenClaimPlanner:
    """Sizes the claim of one host.

    One host, the organisation's owner, holds a reserve for the demand at all hosts,
    which borrow from it. The plan assumes steady demand and a store that may be
    unreachable for some seconds, so the reserve is the demand of
    RESERVE_DEMAND_SECONDS. Towards the end of a budget it decreases, because tokens
    stranded in the claim of a killed host weigh more the fewer are left. Below
    NO_RESERVE_BELOW only what waiting requests need is claimed and the rest returned,
    as any other host than the owner does at all times.
    """

    def plan(self, account: TokenAccount, inputs: TokenClaimInputs, now: float) -> int:
        """Return the total of tokens to claim; never below what is committed."""
        excess = inputs.claimed_by_all - inputs.prepaid
        if excess > 0:
            # The prepaid amount was lowered. Once a host has written its lower claim,
            # the others plan again with a smaller excess.
            return max(account.committed, account.confirmed - excess)
        own_free = account.confirmed + account.borrowed_tokens - account.used
        unclaimed = max(0, inputs.prepaid - inputs.claimed_by_all)
        needed = max(0, account.used + inputs.waiting_tokens - account.borrowed_tokens)
        spare = own_free - inputs.waiting_tokens
        if not inputs.holds_reserve and 0 <= spare <= _small_surplus(account):
            return account.confirmed
        target = self._reserve(account, inputs, unclaimed + max(0, own_free), now)
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
        if not inputs.holds_reserve or is_low(available, inputs.prepaid):
            return 0
        scale = reserve_scale(available / max(1, inputs.prepaid))
        fraction = (
            MIN_RESERVE_FRACTION + (MAX_RESERVE_FRACTION - MIN_RESERVE_FRACTION) * scale
        )
        most = int(available * fraction)
        demand = account.demand_rate(now) * RESERVE_DEMAND_SECONDS
        requests = BURST_REQUESTS if account.largest_request else 1
        burst = requests * max(
            account.largest_request, inputs.host_largest_request * IDLE_RESERVE_FRACTION
        )
        reserve = demand + burst * scale
        if inputs.holds_start_reserve and not account.largest_request:
            reserve = max(reserve, available * START_RESERVE_FRACTION)
        return min(most, int(reserve))


def is_low(available: int, prepaid: int) -> bool:
    """Return whether too few tokens are left for any host to hold a reserve."""
    return available < prepaid * NO_RESERVE_BELOW


def reserve_scale(fraction_left: float) -> float:
    """Return the factor on the reserve, 0 to 1, for the fraction of the budget left."""
    ratio = (fraction_left - MIN_RESERVE_BELOW) / (
        FULL_RESERVE_ABOVE - MIN_RESERVE_BELOW
    )
    return min(1.0, max(0.0, ratio))


def _small_surplus(account: TokenAccount) -> int:
    """Return the free tokens that are not worth a write to the store to return."""
    return int(account.largest_request * RETURN_FACTOR)
