"""One run of a budget scenario."""

from __future__ import annotations

import anyio

from tools.budget_model.budget_row import BudgetRow
from tools.budget_model.fleet import Fleet
from tools.budget_model.host import HOSTS
from tools.budget_model.scenario import Scenario
from tools.budget_model.strategy import Strategy
from tools.budget_model.virtual_loop import run_virtual
from tools.budget_model.workload import MEAN_USED_TOKENS, Workload

FLEET_START_SECONDS = 5.0
BILLING_SETTLE_SECONDS = 60.0
"""Time after the load for settlements and grant releases to reach the log."""


def run_scenario(scenario: Scenario, strategy: Strategy, seed: int) -> BudgetRow:
    """Run a scenario with one allocation strategy and return its figures."""
    rows: list[BudgetRow] = []

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            fleet = Fleet(strategy, seed, tasks, anyio.current_time)
            await _simulate(fleet, scenario, tasks)
            rows.append(_row(fleet, scenario))
            tasks.cancel_scope.cancel()

    run_virtual(main)
    return rows[0]


async def _simulate(
    fleet: Fleet, scenario: Scenario, tasks: anyio.abc.TaskGroup
) -> None:
    tokens = int(
        scenario.seconds * scenario.rate * MEAN_USED_TOKENS * scenario.deposit_ratio
    )
    fleet.top_up("first", tokens, HOSTS[0])
    await anyio.sleep(FLEET_START_SECONDS)
    for event in scenario.events:
        tasks.start_soon(event.run_when_due, fleet)
    await Workload(fleet, scenario.rate).run(scenario.seconds)
    await anyio.sleep(BILLING_SETTLE_SECONDS)


def _row(fleet: Fleet, scenario: Scenario) -> BudgetRow:
    tally = fleet.tally
    return BudgetRow(
        scenario=scenario.name,
        way=fleet.strategy.name,
        weigh=fleet.strategy.weigh or "",
        seed=fleet.seed,
        requests=tally.requests,
        overspent_tokens=tally.overspent,
        false_refusals=tally.false_refusals,
        true_refusals=tally.true_refusals,
        false_exhausted=tally.false_exhausted,
        stranded_tokens=tally.count_stranded(fleet.live_keepers()),
        billed_twice=tally.billed_twice(),
        unbilled=tally.unbilled(),
    )
