from __future__ import annotations

from tests.failure.invariants import assert_complete, wait_until_settled
from tests.fleet.conditions import wait_until
from tests.fleet.fleet_bench import FleetBench, fleet_bench
from tests.fleet.fleet_caller import FleetCaller

DEPOSIT_TOKENS = 20_000
ANSWER_TOKENS = 20
OPEN_ANSWER_TOKENS = 900
SLOW_TOKEN_SECONDS = 0.02
ROLES = ("keeper", "router", "control")
CALLER = FleetCaller("main")


def test_budget_adds_up_after_keeper_restarts():
    """Requests are served throughout; bills, grants and balance equal the deposits."""
    with fleet_bench() as bench:
        bench.operators[0].top_up("main", DEPOSIT_TOKENS, "t1")
        for number in range(2):
            name = f"before-{number}"
            assert CALLER.draft(bench.routers[0], name, ANSWER_TOKENS).complete
            bench.kill(0, "keeper")
            name = f"without-{number}"
            without = CALLER.draft(bench.routers[0], name, ANSWER_TOKENS)
            assert_complete(bench, without, ANSWER_TOKENS)
            bench.restart(0, "keeper")
            wait_until(
                lambda number=number: (
                    CALLER.draft(
                        bench.routers[0], f"after-{number}", ANSWER_TOKENS
                    ).complete
                ),
                "an answer with the new keeper",
            )
            wait_until_settled(
                bench, DEPOSIT_TOKENS, bills=3 * (number + 1), operator_index=1
            )


def replace_host(bench: FleetBench, index: int) -> None:
    """Stop a host gracefully while it streams an answer, and restart it."""
    bench.switch_engines(token_seconds=SLOW_TOKEN_SECONDS)
    name = f"open-{index}"
    router = bench.routers[index]
    with CALLER.open_draft(router, name, OPEN_ANSWER_TOKENS) as opened:
        opened.read_events(3)
        bench.process(index, "router").terminate()
        wait_until(lambda: bench.health(index)["state"] == "refusing", "refusals")
        refused = CALLER.draft(router, f"late-{index}", ANSWER_TOKENS)
        assert refused.refusal == (503, "draining", "not_run")
        bench.switch_engines(token_seconds=0.0)
        assert_complete(bench, opened.read_all(), OPEN_ANSWER_TOKENS)
    assert bench.process(index, "router").wait() == 0
    for role in ("control", "keeper"):
        assert bench.process(index, role).stop() == 0
    for role in ROLES:
        bench.restart(index, role)
    bench.await_config(index)


def test_rolling_restart_completes_streams_and_returns_grants():
    """As hosts restart in turn, streams complete and no grant keeps tokens."""
    with fleet_bench() as bench:
        bench.operators[0].top_up("main", DEPOSIT_TOKENS, "t1")
        for index in range(3):
            replace_host(bench, index)
        status = wait_until_settled(bench, DEPOSIT_TOKENS, bills=3)
        assert (status.held, status.duplicate) == (0, 0)
        assert len(bench.runs()) == 3
