"""The sessions of the golden files; each has its own budget, named like it."""

from __future__ import annotations

from tests.fleet.conditions import wait_until
from tests.fleet.fleet_bench import FleetBench, consumed_tokens
from tests.fleet.fleet_caller import FleetCaller
from tests.golden.transcript import Transcript
from tools.demo import run_knapweedctl

DEPOSIT_TOKENS = 20_000
ANSWER_TOKENS = 6
LONG_ANSWER_TOKENS = 900
SLOW_TOKEN_SECONDS = 0.05
FAST_TOKEN_SECONDS = 0.0

LONG_PROMPT = "Draft a tender reply. " * 20
ONE_REQUEST_TOKENS = 600
"""Enough tokens to reserve for one request with the long prompt, but not for two."""


def answer(bench: FleetBench, transcript: Transcript) -> None:
    """An answer, the repeat of its request, and requests that are refused."""
    caller = FleetCaller("answer")
    _top_up(bench, transcript, "answer", DEPOSIT_TOKENS, "answer-1")
    transcript.step("entry advice of host-0")
    transcript.result(f"{len(bench.advised_routers(0))} routers")
    transcript.step("draft answer-a at host-0")
    transcript.answer(caller.draft(bench.routers[0], "answer-a", ANSWER_TOKENS))
    transcript.step("draft answer-a at host-0 again")
    transcript.answer(caller.draft(bench.routers[0], "answer-a", ANSWER_TOKENS))
    transcript.step("draft answer-a at host-0 with another body")
    transcript.answer(caller.draft(bench.routers[0], "answer-a", ANSWER_TOKENS + 1))
    transcript.step("draft with a negative limit")
    transcript.answer(caller.draft(bench.routers[0], "answer-b", -1))
    transcript.step("draft of an unknown budget")
    transcript.answer(
        FleetCaller("nobody").draft(bench.routers[0], "answer-c", ANSWER_TOKENS)
    )
    _wait_until_billed(bench, transcript, "answer")
    transcript.records()


def cancel(bench: FleetBench, transcript: Transcript) -> None:
    """A caller disconnects; the engine stops and only its output so far is billed."""
    _top_up(bench, transcript, "cancel", DEPOSIT_TOKENS, "cancel-1")
    bench.switch_engines(token_seconds=SLOW_TOKEN_SECONDS)
    transcript.step("draft cancel-a at host-1, left after 3 events")
    router = bench.routers[1]
    with FleetCaller("cancel").open_draft(
        router, "cancel-a", LONG_ANSWER_TOKENS
    ) as opened:
        part = opened.read_events(3)
    transcript.result(f"status {part.status}, whole {part.complete}")
    wait_until(lambda: transcript.runs()[0].cancelled, "the end of the cancelled run")
    bench.switch_engines(token_seconds=FAST_TOKEN_SECONDS)
    _wait_until_billed(bench, transcript, "cancel")
    transcript.records(counts=False)


def booking(bench: FleetBench, transcript: Transcript) -> None:
    """A booking, its repeats at other routers, and its key with another body.

    Then a booking whose reply from the service is lost, and its repeat.
    """
    caller = FleetCaller("booking")
    _top_up(bench, transcript, "booking", DEPOSIT_TOKENS, "booking-1")
    for index in range(3):
        transcript.step(f"book booking-a at host-{index}")
        transcript.answer(caller.book(bench.routers[index], "booking-a"))
    transcript.step("book booking-a at host-1 with another body")
    transcript.answer(caller.book(bench.routers[1], "booking-a", b'{"lot": 2}'))
    transcript.step("a booking that the service runs without an answer")
    bench.switch(bench.fleet.service, cut_replies=1)
    transcript.answer(caller.book(bench.routers[0], "booking-b"))
    transcript.step("book booking-b at host-2")
    transcript.answer(caller.book(bench.routers[2], "booking-b"))
    transcript.records("booking-a", "booking-b")


def budget(bench: FleetBench, transcript: Transcript) -> None:
    """A budget is exhausted and topped up; a repeated top-up deposits nothing."""
    caller = FleetCaller("budget")
    _top_up(bench, transcript, "budget", ONE_REQUEST_TOKENS, "budget-1")
    for name in ("budget-a", "budget-b"):
        transcript.step(f"draft {name} at host-0")
        transcript.answer(
            caller.draft(bench.routers[0], name, ANSWER_TOKENS, LONG_PROMPT)
        )
    _top_up(bench, transcript, "budget", DEPOSIT_TOKENS, "budget-2")
    _top_up(bench, transcript, "budget", DEPOSIT_TOKENS, "budget-2")
    transcript.step("draft budget-b at host-0")
    transcript.answer(
        caller.draft(bench.routers[0], "budget-b", ANSWER_TOKENS, LONG_PROMPT)
    )
    _wait_until_billed(bench, transcript, "budget")
    transcript.records()


def drain(bench: FleetBench, transcript: Transcript) -> None:
    """A drained host is no longer advised, refuses requests, and stops.

    Its open stream is first sent to the end.
    """
    caller = FleetCaller("drain")
    router = bench.routers[2]
    _top_up(bench, transcript, "drain", DEPOSIT_TOKENS, "drain-1")
    bench.switch_engines(token_seconds=SLOW_TOKEN_SECONDS)
    transcript.step("draft drain-a at host-2, still open")
    with caller.open_draft(router, "drain-a", LONG_ANSWER_TOKENS) as opened:
        transcript.result(f"status {opened.read_events(3).status}")
        transcript.step("knapweedctl drain host-2")
        transcript.result(run_knapweedctl(bench.fleet, "drain", "host-2").strip())
        wait_until(
            lambda: router not in bench.advised_routers(0), "advice without host-2"
        )
        transcript.result("host-2 has left the advice of host-0")
        transcript.step("SIGTERM to the router of host-2")
        bench.process(2, "router").terminate()
        wait_until(lambda: bench.health(2)["state"] == "refusing", "refusals of host-2")
        transcript.step("draft drain-b at host-2")
        transcript.answer(caller.draft(router, "drain-b", ANSWER_TOKENS))
        transcript.step("the open stream of host-2 to its end")
        bench.switch_engines(token_seconds=FAST_TOKEN_SECONDS)
        rest = opened.read_all()
        transcript.result(f"whole {rest.complete}, {len(rest.text.split())} tokens")
    _stop_host(bench, transcript)
    wait_until(lambda: bench.operators[0].status("drain").held == 0, "all grants back")
    transcript.result("no tokens held")
    transcript.step("draft drain-b at host-0")
    answer = caller.draft(bench.routers[0], "drain-b", ANSWER_TOKENS)
    transcript.result(f"whole {answer.complete}")
    _wait_until_billed(bench, transcript, "drain")
    transcript.records()


def _stop_host(bench: FleetBench, transcript: Transcript) -> None:
    # The router was sent SIGTERM before; a second one would end its drain early.
    transcript.step("end of the router of host-2")
    transcript.result(f"exit code {bench.process(2, 'router').wait()}")
    for role in ("control", "keeper"):
        transcript.step(f"SIGTERM to the {role} of host-2")
        transcript.result(f"exit code {bench.process(2, role).stop()}")


def _top_up(
    bench: FleetBench, transcript: Transcript, budget: str, tokens: int, topup_id: str
) -> None:
    transcript.step(f"top up {budget} by {tokens} tokens as {topup_id}")
    answer = bench.operators[1].top_up(budget, tokens, topup_id)
    repeated = b'"repeated":true' in answer.body
    transcript.result(f"status {answer.status}, repeated {repeated}")
    # The other keepers apply the deposit only once they have read it from the log.
    for operator in bench.operators:
        wait_until(
            lambda operator=operator: operator.status(budget).deposited >= tokens,
            "the deposit at each keeper",
        )


def _wait_until_billed(bench: FleetBench, transcript: Transcript, budget: str) -> None:
    """Wait until all tokens that the engines generated are billed."""
    wait_until(
        lambda: (
            bench.operators[0].status(budget).billed
            >= consumed_tokens(transcript.runs())
        ),
        "the bills of all runs",
    )


SESSIONS = (answer, cancel, booking, budget, drain)
