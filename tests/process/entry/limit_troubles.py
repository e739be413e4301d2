"""Days with mixed troubles for hosts before endpoints that name limits."""

from __future__ import annotations

import random

from tests.process.entry.limit_day import LimitPlan, Trouble, TroubleKind

TROUBLES_FROM = 8.0
MAX_TROUBLE_SECONDS = 12.0
MIN_TROUBLE_SECONDS = 1.0
WINDOW_AFTER_SECONDS = 6.0
MAX_COPY_AGE_SECONDS = 4.0
DAY_SECONDS = 34.0
LIMITS = (1.0, 1.1, 3.0, 5.0)
DEMAND_PER_LIMIT = 9.0
"""Requests a second of all callers, three times what three endpoints take."""


def mixed_plan(hosts: int, seed: int) -> LimitPlan:
    """Return a day with three to six troubles, some of which overlap."""
    rng = random.Random(seed)
    limit = rng.choice(LIMITS)
    return LimitPlan(
        hosts,
        limit,
        demand=DEMAND_PER_LIMIT * limit,
        seconds=DAY_SECONDS,
        refused=rng.choice((0.0, 0.0, 0.2)),
        troubles=tuple(_trouble(hosts, rng) for _ in range(rng.randint(3, 6))),
    )


def _trouble(hosts: int, rng: random.Random) -> Trouble:
    kind = rng.choice(list(TroubleKind))
    seconds = rng.uniform(MIN_TROUBLE_SECONDS, MAX_TROUBLE_SECONDS)
    if kind is TroubleKind.STORE_RETURN:
        seconds = min(seconds, MAX_COPY_AGE_SECONDS)
    at = rng.uniform(TROUBLES_FROM, DAY_SECONDS - WINDOW_AFTER_SECONDS)
    return Trouble(kind, at, seconds, _chosen(kind, hosts, rng))


def _chosen(kind: TroubleKind, hosts: int, rng: random.Random) -> tuple[int, ...]:
    """Return some hosts, or none for all of them."""
    is_for_all = rng.random() < 0.5 and kind is not TroubleKind.KILL
    if is_for_all:
        return ()
    most = max(1, hosts // 2)
    return tuple(rng.sample(range(hosts), rng.randint(1, most)))
