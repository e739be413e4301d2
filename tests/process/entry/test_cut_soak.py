from __future__ import annotations

import os

from tests.async_test import run_async
from tests.process.entry.cut_soak import CutSoak

SEEDS = range(int(os.environ.get("KNAPWEED_CUT_SEEDS", "2")))


ALL_ASKED_CUT_OFF_SEED = 29
"""A run in which the three hosts asked did not know that they were cut off."""


def play(seed: int) -> None:
    """Play one seed and check what it showed."""

    async def check() -> None:
        report = await CutSoak(seed).play()
        assert report.wrong == [], (seed, report.wrong[:5])
        assert report.served, seed

    run_async(check)


def test_cuts_kills_and_stops_that_overlap_break_no_promise_to_callers():
    """Answers are whole and right, 503 is true, nothing runs twice; then all heals."""
    for seed in SEEDS:
        play(seed)


def test_hosts_reset_together_take_no_endpoint_for_crashed():
    """One host is left that reaches it."""
    play(ALL_ASKED_CUT_OFF_SEED)
