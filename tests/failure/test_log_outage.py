from __future__ import annotations

import json

from tests.failure.invariants import assert_complete, wait_until_settled
from tests.fleet.conditions import wait_until
from tests.fleet.fleet_bench import fleet_bench
from tests.fleet.fleet_caller import FleetCaller

DEPOSIT_TOKENS = 20_000
ANSWER_TOKENS = 20
CALLER = FleetCaller("main")
LOG_DELAY_SECONDS = 0.2


def test_log_outage_refuses_bookings_and_serves_from_allowances():
    """Model requests are served and billed later; refusals have the true run state."""
    with fleet_bench() as bench:
        bench.operators[0].top_up("main", DEPOSIT_TOKENS, "t1")
        for index, router in enumerate(bench.routers):
            assert CALLER.draft(router, f"before-{index}", ANSWER_TOKENS).complete
        bench.switch(bench.fleet.log, outage=True)
        refused = [CALLER.book(router, "b") for router in bench.routers]
        answers = [
            CALLER.draft(router, f"in-{index}", ANSWER_TOKENS)
            for index, router in enumerate(bench.routers)
        ]
        top_up = bench.operators[1].top_up("main", 500, "t2")
        expected = (503, "log_unavailable", "unknown")
        assert [r.refusal for r in refused] == [expected] * 3
        assert top_up.status >= 500
        assert bench.bookings("b") == 0
        for answer in answers:
            assert_complete(bench, answer, ANSWER_TOKENS)
        bench.switch(bench.fleet.log, outage=False)
        wait_until(
            lambda: bench.operators[2].top_up("main", 500, "t2").status == 200,
            "the top-up after the outage",
        )
        wait_until_settled(bench, DEPOSIT_TOKENS + 500, bills=6)
        wait_until(lambda: CALLER.book(bench.routers[2], "b").complete, "the booking")
        assert bench.bookings("b") == 1


def test_append_with_lost_reply_counts_once():
    """Facts whose append reply is lost count once: top-up to request outcome."""
    with fleet_bench(host_count=2) as bench:
        log = bench.fleet.log
        bench.switch(log, lose_replies=1)
        bench.operators[0].top_up("main", DEPOSIT_TOKENS, "t1")
        bench.operators[1].top_up("main", DEPOSIT_TOKENS, "t1")
        for index, router in enumerate(bench.routers):
            bench.switch(log, lose_replies=4)
            answer = CALLER.draft(router, f"r{index}", ANSWER_TOKENS)
            assert_complete(bench, answer, ANSWER_TOKENS)
            wait_until_settled(bench, DEPOSIT_TOKENS, bills=index + 1)
        bench.switch(log, lose_replies=4)
        replies = [CALLER.book(router, "b") for router in bench.routers]
        assert [reply.status for reply in replies] == [200, 200]
        assert bench.bookings("b") == 1


def test_slow_log_only_delays_answers():
    """With delayed appends and reads, answers, bookings and bills are unchanged."""
    with fleet_bench(host_count=2) as bench:
        bench.switch(bench.fleet.log, slow_seconds=LOG_DELAY_SECONDS)
        bench.operators[0].top_up("main", DEPOSIT_TOKENS, "t1")
        for index, router in enumerate(bench.routers):
            wait_until(
                lambda router=router, index=index: (
                    CALLER.draft(router, f"r{index}", ANSWER_TOKENS).complete
                ),
                "an answer with a slow log",
            )
            assert CALLER.book(router, "b").status == 200
        wait_until_settled(bench, DEPOSIT_TOKENS, bills=2)
        assert bench.bookings("b") == 1


def test_keeper_started_in_log_outage_accepts_nothing():
    """A keeper with neither log nor peers issues no grants and claims, no top-ups."""
    with fleet_bench(host_count=1) as bench:
        bench.operators[0].top_up("main", DEPOSIT_TOKENS, "t1")
        for role in ("router", "keeper"):
            bench.kill(0, role)
        bench.switch(bench.fleet.log, outage=True)
        for role in ("keeper", "router"):
            bench.restart(0, role)
        refused = (503, "not_ready", "not_run")
        assert CALLER.draft(bench.routers[0], "r", ANSWER_TOKENS).refusal == refused
        assert CALLER.book(bench.routers[0], "b").refusal == refused
        top_up = bench.operators[0].top_up("main", 500, "t2")
        assert json.loads(top_up.body)["reason"] in {"unknown", "unavailable"}
        bench.switch(bench.fleet.log, outage=False)
        bench.await_config(0)
        wait_until(
            lambda: CALLER.draft(bench.routers[0], "r", ANSWER_TOKENS).complete,
            "an answer after the outage",
        )
        wait_until(
            lambda: bench.operators[0].top_up("main", 500, "t2").status == 200,
            "the top-up after the outage",
        )
        wait_until_settled(bench, DEPOSIT_TOKENS + 500, bills=1)
        assert bench.bookings("b") == 0
