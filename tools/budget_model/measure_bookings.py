"""Runs the booking scenarios and prints their figures."""

from __future__ import annotations

import dataclasses
import json
import sys
from collections.abc import Collection

from tools.budget_model.booking_row import BookingRow
from tools.budget_model.booking_run import WITH_CLAIMS, WITHOUT_CLAIMS, run_booking
from tools.budget_model.booking_scenario import BOOKING_SCENARIOS

SEEDS = (1, 2, 3)


def measure_bookings(names: Collection[str]) -> bool:
    """Print a row for each scenario, strategy and seed; return whether all passed."""
    chosen = [s for s in BOOKING_SCENARIOS if not names or s.name in names]
    passed = [
        _report(run_booking(scenario, strategy, seed))
        for scenario in chosen
        for strategy in (WITH_CLAIMS, WITHOUT_CLAIMS)
        for seed in SEEDS
    ]
    return all(passed)


def _report(row: BookingRow) -> bool:
    """Print a row and return whether it passed; without claims, faults are expected."""
    print(json.dumps(dataclasses.asdict(row)), flush=True)
    if row.way == WITHOUT_CLAIMS or not row.faults():
        return True
    print(f"{row.scenario} {row.way} seed {row.seed}: {row.faults()}", file=sys.stderr)
    return False
