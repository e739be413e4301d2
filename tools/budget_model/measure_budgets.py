"""Runs the budget scenarios and prints their figures."""

from __future__ import annotations

import concurrent.futures
import dataclasses
import json
import sys
from collections.abc import Collection

from tools.budget_model.budget_row import BudgetRow
from tools.budget_model.budget_run import run_scenario
from tools.budget_model.scenario import Scenario
from tools.budget_model.scenarios import BUDGET_SCENARIOS
from tools.budget_model.strategy import STRATEGIES, Strategy

SEEDS = (1, 2, 3)
WORKERS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """Indices of a scenario and a strategy, and the seed; picklable for a worker."""

    scenario: int
    strategy: int
    seed: int


def measure_budgets(names: Collection[str]) -> bool:
    """Print a row for each scenario, strategy and seed; return whether all passed."""
    jobs = [
        Job(scenario, strategy, seed)
        for scenario in range(len(BUDGET_SCENARIOS))
        if not names or BUDGET_SCENARIOS[scenario].name in names
        for strategy in range(len(STRATEGIES))
        for seed in SEEDS
        if _is_measured(BUDGET_SCENARIOS[scenario], STRATEGIES[strategy])
    ]
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        passed = [_report(row) for row in pool.map(_run, jobs)]
    return all(passed)


def _is_measured(scenario: Scenario, strategy: Strategy) -> bool:
    """Return whether to run: the unsafe strategy only overspends if tokens run out."""
    return not strategy.is_unsafe or scenario.deposit_ratio < 1


def _run(job: Job) -> BudgetRow:
    return run_scenario(
        BUDGET_SCENARIOS[job.scenario], STRATEGIES[job.strategy], job.seed
    )


def _report(row: BudgetRow) -> bool:
    print(json.dumps(dataclasses.asdict(row)), flush=True)
    is_unsafe = any(
        strategy.is_unsafe and strategy.name == row.way for strategy in STRATEGIES
    )
    if is_unsafe or not row.faults():
        return True
    print(f"{row.scenario} {row.way}: {row.faults()}", file=sys.stderr)
    return False
