from __future__ import annotations

import concurrent.futures

from tests.failure.invariants import (
    assert_complete,
    assert_truncated,
    wait_until_settled,
)
from tests.fleet.conditions import wait_until
from tests.fleet.fleet_bench import FleetBench, fleet_bench
from tests.fleet.fleet_caller import FleetCaller

DEPOSIT_TOKENS = 20_000
ANSWER_TOKENS = 900
SLOW_TOKEN_SECONDS = 0.05
CALLER = FleetCaller("main")


def kill_with_open_stream(bench: FleetBench, log_outage: bool) -> None:
    """Kill router 0 while it streams the answer to request ``r``."""
    bench.switch_engines(token_seconds=SLOW_TOKEN_SECONDS)
    with CALLER.open_draft(bench.routers[0], "r", ANSWER_TOKENS) as opened:
        opened.read_events(3)
        bench.switch(bench.fleet.log, outage=log_outage)
        bench.kill(0, "router")
        assert_truncated(opened.read_all())
    bench.switch_engines(token_seconds=0.0)


def test_retry_after_a_router_was_killed_has_one_run_and_one_bill():
    """A retry at another router gets the complete answer of the same run."""
    with fleet_bench() as bench:
        bench.operators[0].top_up("main", DEPOSIT_TOKENS, "t")
        kill_with_open_stream(bench, log_outage=False)
        answer = CALLER.draft(bench.routers[1], "r", ANSWER_TOKENS)
        assert_complete(bench, answer, ANSWER_TOKENS)
        assert wait_until_settled(bench, DEPOSIT_TOKENS, bills=1).duplicate == 0
        assert len(bench.runs()) == 1


def test_router_killed_in_a_log_outage_still_has_one_bill():
    """During the outage a retry is served from allowances and billed afterwards."""
    with fleet_bench() as bench:
        bench.operators[0].top_up("main", DEPOSIT_TOKENS, "t")
        assert CALLER.draft(bench.routers[1], "first", ANSWER_TOKENS).complete
        kill_with_open_stream(bench, log_outage=True)
        answer = CALLER.draft(bench.routers[1], "r", ANSWER_TOKENS)
        assert_complete(bench, answer, ANSWER_TOKENS)
        refused = CALLER.book(bench.routers[1], "booking")
        assert refused.refusal == (503, "log_unavailable", "unknown")
        bench.switch(bench.fleet.log, outage=False)
        assert wait_until_settled(bench, DEPOSIT_TOKENS, bills=2).duplicate == 0
        assert bench.bookings("booking") == 0


def test_booking_of_a_killed_router_is_not_run_again():
    """Retries at other routers get run state ``unknown`` and don't run the booking."""
    with (
        fleet_bench() as bench,
        concurrent.futures.ThreadPoolExecutor(1) as threads,
    ):
        bench.switch(bench.fleet.service, delay_seconds=3600.0)
        lost = threads.submit(CALLER.book, bench.routers[0], "b")
        wait_until(lambda: bench.bookings("b"), "the booking at the service")
        bench.kill(0, "router")
        assert lost.result().cut
        bench.switch(bench.fleet.service, delay_seconds=0.0)
        for index in (1, 2):
            repeat = CALLER.book(bench.routers[index], "b")
            assert repeat.problem["run_state"] == "unknown"
        assert bench.bookings("b") == 1
