from __future__ import annotations

import concurrent.futures
import itertools

from tests.fleet.conditions import wait_until
from tests.fleet.fleet_answer import FleetAnswer
from tests.fleet.fleet_bench import FleetBench, consumed_tokens, fleet_bench
from tests.fleet.fleet_caller import FleetCaller

DEPOSIT_TOKENS = 6_000
TOP_UP_TOKENS = 1_000
HELD_ANSWER_TOKENS = 900
HELD_REQUESTS = 3
ANSWER_TOKENS = 150
HELD_PREFILL_SECONDS = 30.0
"""Keeps reservations open while the keeper is paused; no assertion depends on it."""

CALLER = FleetCaller("main")
NUMBERS = itertools.count()


def spend_until_refused(bench: FleetBench, index: int) -> FleetAnswer:
    """Send requests to one router until it refuses one; return the refusal."""
    while True:
        name = f"spend-{next(NUMBERS)}"
        answer = CALLER.draft(bench.routers[index], name, ANSWER_TOKENS, f"{name}.")
        if not answer.complete:
            return answer


def test_resumed_keeper_does_not_overspend_after_release():
    """Tokens reserved by the keeper's router stay out of the balance others spend.

    A keeper is paused until its witness has released its grants; the released tokens
    and a top-up are spent at other hosts; then the keeper resumes. The test fails if
    the witness also releases unlocked tokens, as an expiring lease would.
    """
    with (
        fleet_bench() as bench,
        concurrent.futures.ThreadPoolExecutor(HELD_REQUESTS) as threads,
    ):
        bench.operators[1].top_up("main", DEPOSIT_TOKENS, "t1")
        bench.switch_engines(prefill_seconds=HELD_PREFILL_SECONDS)
        held = [
            threads.submit(
                CALLER.draft, bench.routers[0], f"held-{number}", HELD_ANSWER_TOKENS
            )
            for number in range(HELD_REQUESTS)
        ]
        wait_until(
            lambda: sum(run.started_at > 0 for run in bench.runs()) == HELD_REQUESTS,
            "the held runs",
        )
        bench.switch_engines(prefill_seconds=0.0)
        with bench.paused(0, "keeper"):
            wait_until(
                lambda: any(
                    bench.has_logged(index, "keeper", "grant_released")
                    for index in (1, 2)
                ),
                "the release by the witness",
            )
            refusals = [spend_until_refused(bench, index) for index in (1, 2)]
            assert bench.operators[1].top_up("main", TOP_UP_TOKENS, "t2").status == 200
            refusals += [spend_until_refused(bench, index) for index in (2, 0)]
        answers = [fut.result() for fut in held]
        assert all(answer.complete for answer in answers), [a.refusal for a in answers]
        refusals += [spend_until_refused(bench, index) for index in (0, 1, 2)]
        assert all(r.problem["run_state"] == "not_run" for r in refusals), refusals
        runs = bench.runs()
        assert consumed_tokens(runs) <= DEPOSIT_TOKENS + TOP_UP_TOKENS
        assert all(run.posts == 1 for run in runs)
        wait_until(
            lambda: bench.operators[1].status("main").billed >= consumed_tokens(runs),
            "the bills of all runs",
        )
        status = bench.operators[1].status("main")
        assert (status.billed, status.bills) == (consumed_tokens(runs), len(runs))
        assert (status.excess, status.duplicate) == (0, 0)
