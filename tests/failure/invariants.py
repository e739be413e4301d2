"""Assertions that hold after any failure, checked against the stand-ins' records."""

from __future__ import annotations

from knapweeddrum.message.call.budget_status import BudgetStatus
from tests.fleet.conditions import wait_until
from tests.fleet.fleet_answer import DONE_EVENT, FleetAnswer
from tests.fleet.fleet_bench import FleetBench, consumed_tokens
from tests.standins.answer_text import answer_text


def wait_until_settled(
    bench: FleetBench, deposited: int, bills: int, operator_index: int = 0
) -> BudgetStatus:
    """Wait until all runs are billed, then check the budget against the engines.

    ``deposited`` (tokens) and ``bills`` are the expected values in the status that
    the operator at ``operator_index`` reads.
    """

    def is_billed() -> bool:
        status = bench.operators[operator_index].status("main")
        return status.billed + status.duplicate >= consumed_tokens(bench.runs())

    wait_until(is_billed, "the bills of all runs")
    status = bench.operators[operator_index].status("main")
    assert status.deposited == deposited
    assert status.billed + status.duplicate == consumed_tokens(bench.runs())
    assert status.balance + status.held + consumed_tokens(bench.runs()) == deposited
    assert status.bills == bills
    assert status.excess == 0
    return status


def assert_complete(bench: FleetBench, answer: FleetAnswer, tokens: int) -> None:
    """Assert that the answer is complete and is the output of one run."""
    assert answer.complete, answer
    texts = {answer_text(run.run_id, tokens) for run in bench.runs()}
    assert answer.text in texts


def assert_truncated(answer: FleetAnswer) -> None:
    """Assert that a truncated answer is recognisable as incomplete."""
    assert not answer.complete
    assert DONE_EVENT not in answer.events
