"""Runs the budget scenarios and prints their rows."""

from __future__ import annotations

import concurrent.futures
import dataclasses
import json
import sys
from collections.abc import Collection

from tools.budget_model.budget_row import BudgetRow
from tools.budget_model.budget_run import run_scenario
from tools.budget_model.scenarios import BUDGET_SCENARIOS
from tools.budget_model.way import WAYS

SEEDS = (1, 2, 3)
WORKERS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """Indices of a scenario and a way, for a worker process, and the seed."""

    scenario: int
    way: int
    seed: int


def measure_budgets(names: Collection[str]) -> bool:
    """Print a row for each scenario, way and seed; return whether all was in order."""
    jobs = [
        Job(scenario, way, seed)
        for scenario in range(len(BUDGET_SCENARIOS))
        if not names or BUDGET_SCENARIOS[scenario].name in names
        for way in range(len(WAYS))
        for seed in SEEDS
    ]
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        verdicts = [_report(row) for row in pool.map(_run, jobs)]
    return all(verdicts)


def _run(job: Job) -> BudgetRow:
    return run_scenario(BUDGET_SCENARIOS[job.scenario], WAYS[job.way], job.seed)


def _report(row: BudgetRow) -> bool:
    print(json.dumps(dataclasses.asdict(row)), flush=True)
    is_unsafe = any(way.is_unsafe and way.name == row.way for way in WAYS)
    if is_unsafe or not row.faults():
        return True
    print(f"{row.scenario} {row.way}: {row.faults()}", file=sys.stderr)
    return False
