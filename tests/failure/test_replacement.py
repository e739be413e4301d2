from __future__ import annotations

from tests.failure.invariants import assert_whole, settled
from tests.fleet.conditions import until
from tests.fleet.fleet_bench import FleetBench, fleet_bench
from tests.fleet.fleet_caller import FleetCaller

DEPOSIT_TOKENS = 20_000
ANSWER_TOKENS = 20
OPEN_ANSWER_TOKENS = 900
SLOW_TOKEN_SECONDS = 0.02
ROLES = ("keeper", "router", "control")
CALLER = FleetCaller("main")


def test_killed_and_replaced_keeper_leaves_budgets_that_add_up():
    """Requests are served throughout; bills, grants and balance equal the deposits."""
    with fleet_bench() as bench:
        bench.operators[0].top_up("main", DEPOSIT_TOKENS, "t1")
        for number in range(2):
            name = f"before-{number}"
            assert CALLER.draft(bench.routers[0], name, ANSWER_TOKENS).whole
            bench.kill(0, "keeper")
            name = f"without-{number}"
            without = CALLER.draft(bench.routers[0], name, ANSWER_TOKENS)
            assert_whole(bench, without, ANSWER_TOKENS)
            bench.restart(0, "keeper")
            until(
                lambda number=number: (
                    CALLER.draft(
                        bench.routers[0], f"after-{number}", ANSWER_TOKENS
                    ).whole
                ),
                "an answer with the new keeper",
            )
            settled(bench, DEPOSIT_TOKENS, bills=3 * (number + 1), index=1)


def replace_host(bench: FleetBench, index: int) -> None:
    """Stop a host gracefully while it streams an answer, and restart it."""
    bench.switch_engines(token_seconds=SLOW_TOKEN_SECONDS)
    name = f"open-{index}"
    router = bench.routers[index]
    with CALLER.open_draft(router, name, OPEN_ANSWER_TOKENS) as opened:
        opened.read_events(3)
        bench.process(index, "router").ask_to_stop()
        until(lambda: bench.health(index)["state"] == "refusing", "refusals")
        refused = CALLER.draft(router, f"late-{index}", ANSWER_TOKENS)
        assert refused.refusal == (503, "draining", "not_run")
        bench.switch_engines(token_seconds=0.0)
        assert_whole(bench, opened.read_all(), OPEN_ANSWER_TOKENS)
    assert bench.process(index, "router").wait() == 0
    for role in ("control", "keeper"):
        assert bench.process(index, role).stop() == 0
    for role in ROLES:
        bench.restart(index, role)
    bench.await_config(index)


def test_rolling_replacement_cuts_no_stream_and_hands_grants_back():
    """As hosts restart in turn, streams complete and no grant keeps tokens."""
    with fleet_bench() as bench:
        bench.operators[0].top_up("main", DEPOSIT_TOKENS, "t1")
        for index in range(3):
            replace_host(bench, index)
        status = settled(bench, DEPOSIT_TOKENS, bills=3)
        assert (status.held, status.duplicate) == (0, 0)
        assert len(bench.runs()) == 3
