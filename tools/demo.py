"""Demo of a small fleet: answers, a cancel, a booking, refusals and a graceful stop.

Prints each check to standard error and, at the end, one JSON line with figures that
are read from the records of stand-ins and keepers. Exits with 1 if a check fails.
"""

from __future__ import annotations

import hashlib
import json
import pathlib
import subprocess
import sys
import tempfile
import time

from tools.demo_caller import CallResult, DemoCaller
from tools.launcher import (
    BIN,
    SmallFleet,
    get_json,
    post_json,
    small_fleet,
    wait_for_port,
)

API_KEY = "demo-caller-key"
BUDGET = "mill/main"
FIRST_DEPOSIT_TOKENS = 1_000
TOP_UP_TOKENS = 2_000
DRAFT_TOKENS = 40
CANCELLED_DRAFT_TOKENS = 400
SETTLE_LIMIT_SECONDS = 20.0
POLL_SECONDS = 0.2
HAND_BACK_LIMIT_SECONDS = 3.0
SPEND_LIMIT_REQUESTS = 60


def say(text: str) -> None:
    print(text, file=sys.stderr)


def client(fleet: SmallFleet, *words: str) -> str:
    """Run knapweedctl and return what it prints."""
    servers: list[str] = []
    for host in fleet.hosts:
        servers += ["--server", f"http://127.0.0.1:{host.control_port}"]
    argv = [str(BIN / "knapweedctl"), *servers, "--output", "json", *words]
    done = subprocess.run(argv, capture_output=True, text=True, check=False)
    if done.returncode != 0:
        raise SystemExit(f"knapweedctl {words}: {done.stdout}{done.stderr}")
    return done.stdout


def resources(fleet: SmallFleet) -> list[dict[str, object]]:
    """Return the resource documents that the demo applies."""
    digest = hashlib.sha256(API_KEY.encode()).hexdigest()
    engines = [
        {
            "kind": "endpoint",
            "name": engine.name,
            "spec": {
                "kind": "model_engine",
                "address": engine.url,
                "data_centre": "dc-0",
            },
        }
        for engine in fleet.engines
    ]
    orders = {
        "kind": "plain_service",
        "address": fleet.service.url,
        "data_centre": "dc-0",
    }
    model_route = {
        "kind": "model_engine",
        "model": "draft",
        "endpoints": [engine.name for engine in fleet.engines],
        "output_limit": CANCELLED_DRAFT_TOKENS,
    }
    return [
        {"kind": "organisation", "name": "mill", "spec": {"key_digests": [digest]}},
        {"kind": "budget", "name": BUDGET, "spec": {"organisation": "mill"}},
        *engines,
        {"kind": "endpoint", "name": "orders-0", "spec": orders},
        {"kind": "route", "name": "draft", "spec": model_route},
        {
            "kind": "route",
            "name": "orders",
            "spec": {"kind": "plain_service", "endpoints": ["orders-0"]},
        },
        {
            "kind": "rule",
            "name": "reservations",
            "spec": {
                "route": "orders",
                "method": "POST",
                "path_prefix": "/reservations",
                "repeatable": False,
            },
        },
    ]


def declare(fleet: SmallFleet) -> None:
    """Apply the resources and wait until every router uses them."""
    path = fleet.directory / "resources.jsonc"
    text = "// Resources of the demo\n" + json.dumps(resources(fleet), indent=2)
    path.write_text(text, encoding="utf-8")
    client(fleet, "apply", str(path))
    caller = DemoCaller(API_KEY, "draft")
    limit = time.monotonic() + SETTLE_LIMIT_SECONDS
    for host in fleet.hosts:
        while time.monotonic() < limit:
            result = caller.draft(router_url(host.router_port), "", 0)
            # A router reports bad_request only once it knows the API key.
            if result.reason == "bad_request":
                break
            time.sleep(POLL_SECONDS)


def held_after_stop(fleet: SmallFleet) -> int:
    """Restart one host's keeper and control; return the tokens still held by grants."""
    host = fleet.hosts[0]
    for role in ("keeper", "control"):
        wait_for_port(fleet.start_process(host, role))
    limit = time.monotonic() + HAND_BACK_LIMIT_SECONDS
    while True:
        held = budget_status(fleet)["held"]
        if held == 0 or time.monotonic() > limit:
            return held
        time.sleep(POLL_SECONDS)


def advised_hosts(fleet: SmallFleet, router: str) -> int:
    """Wait until the entry advice lists all hosts; return how many it lists."""
    limit = time.monotonic() + SETTLE_LIMIT_SECONDS
    while True:
        advice = get_json(f"{router}/v1/entry")
        count = len(advice["hosts"])
        if count == len(fleet.hosts) or time.monotonic() > limit:
            return count
        time.sleep(POLL_SECONDS)


def router_url(port: int) -> str:
    return f"http://127.0.0.1:{port}"


def spend_to_the_end(caller: DemoCaller, router: str) -> CallResult:
    """Send requests until the budget is exhausted; return that refusal.

    Retries while the remaining tokens are held by another router.
    """
    for _ in range(SPEND_LIMIT_REQUESTS):
        result = caller.draft(router, "more", DRAFT_TOKENS)
        if result.reason == "budget_unreachable":
            time.sleep(1.0)
            continue
        if not result.whole:
            return result
    raise SystemExit("budget not exhausted within the request limit")


def engine_runs(fleet: SmallFleet) -> list[dict[str, object]]:
    """Return the runs of all engines, from their own records."""
    runs = []
    for engine in fleet.engines:
        runs += get_json(f"{engine.url}/-/records")["runs"]
    return runs


def tokens_of(run: dict[str, object]) -> int:
    return int(run["prompt_tokens"]) + int(run["output_tokens"])


def budget_status(fleet: SmallFleet) -> dict[str, int]:
    """Return the budget's status as a keeper has replayed it from the log."""
    return json.loads(client(fleet, "budgets", BUDGET))["budgets"][0]


def settled_status(fleet: SmallFleet) -> dict[str, int]:
    """Wait until every run is billed and return the budget's status."""
    limit = time.monotonic() + SETTLE_LIMIT_SECONDS
    while True:
        status = budget_status(fleet)
        if status["bills"] >= len(engine_runs(fleet)) or time.monotonic() > limit:
            return status
        time.sleep(POLL_SECONDS)


def refusals(fleet: SmallFleet) -> int:
    """Return the sum of the routers' counters of budget_exhausted refusals."""
    total = 0
    for host in fleet.hosts:
        counts = get_json(f"{router_url(host.router_port)}/-/counters")
        total += counts.get("refusal.budget_exhausted", 0)
    return total


def check(condition: bool, text: str, wrong: list[str]) -> None:
    say(f"{'ok  ' if condition else 'FAIL'} {text}")
    if not condition:
        wrong.append(text)


def run(fleet: SmallFleet, wrong: list[str]) -> dict[str, int]:
    """Run the demo's requests and return the figures."""
    declare(fleet)
    client(fleet, "top-up", BUDGET, str(FIRST_DEPOSIT_TOKENS), "--topup-id", "first")
    routers = [router_url(host.router_port) for host in fleet.hosts]
    check(advised_hosts(fleet, routers[1]) == len(fleet.hosts), "entry advice", wrong)
    caller = DemoCaller(API_KEY, "draft")

    answer = caller.draft(routers[0], "Draft a tender reply.", DRAFT_TOKENS)
    check(answer.whole, f"draft streamed: {answer.status} {answer.reason}", wrong)
    cut = caller.draft(
        routers[1], "Draft a long one.", CANCELLED_DRAFT_TOKENS, stop_after=3
    )
    check(cut.status == 200 and not cut.whole, "draft cancelled by its caller", wrong)
    booking = b'{"lot": "Ti-64", "kilograms": 500}'
    first = caller.book(routers[0], "orders", "booking-1", booking)
    again = caller.book(routers[2], "orders", "booking-1", booking)
    check(first.whole, f"booked: {first.status} {first.reason}", wrong)
    check(again.text == first.text, "same booking, same answer", wrong)

    spent = spend_to_the_end(caller, routers[0])
    check(
        (spent.status, spent.reason) == (402, "budget_exhausted"),
        f"budget exhausted: {spent.status} {spent.reason}",
        wrong,
    )
    client(fleet, "top-up", BUDGET, str(TOP_UP_TOKENS), "--topup-id", "second")
    client(fleet, "top-up", BUDGET, str(TOP_UP_TOKENS), "--topup-id", "second")
    after = caller.draft(routers[2], "Once more.", DRAFT_TOKENS)
    check(after.whole, f"served after the top-up: {after.reason}", wrong)

    status = settled_status(fleet)
    runs = engine_runs(fleet)
    consumed = sum(tokens_of(run) for run in runs)
    bookings = get_json(f"{fleet.service.url}/-/records")["executions"]
    deposits = FIRST_DEPOSIT_TOKENS + TOP_UP_TOKENS
    figures = {
        "answered": sum(1 for run in runs if run["finished"]),
        "cancelled": sum(1 for run in runs if run["cancelled"]),
        "refused": refusals(fleet),
        "billed_requests": status["bills"],
        "billed_tokens": status["billed"],
        "bookings_run": len(bookings),
        "overspent_tokens": max(0, consumed - deposits),
    }
    check(status["deposited"] == deposits, "each top-up counted once", wrong)
    check(
        figures["billed_tokens"] == consumed,
        f"billed {figures['billed_tokens']} of {consumed} tokens consumed at engines",
        wrong,
    )
    check(figures["billed_requests"] == len(runs), "each run billed once", wrong)
    check(figures["cancelled"] == 1, "one run cancelled at the engine", wrong)
    check(figures["refused"] >= 1, "refusals counted", wrong)
    check(figures["bookings_run"] == 1, "the booking ran once", wrong)
    check(figures["overspent_tokens"] == 0, "no tokens overspent", wrong)
    return figures


def main() -> int:
    wrong: list[str] = []
    with tempfile.TemporaryDirectory(prefix="knapweed-demo-") as name:
        directory = pathlib.Path(name)
        with small_fleet(directory) as fleet:
            for engine in fleet.engines:
                post_json(f"{engine.url}/-/switches", {"token_seconds": 0.005})
            try:
                figures = run(fleet, wrong)
                codes = fleet.stop()
            except SystemExit:
                show_logs(directory)
                raise
            check(set(codes) == {0}, f"graceful stop, exit codes {codes}", wrong)
            held = held_after_stop(fleet)
            check(held == 0, f"grants returned, {held} tokens still held", wrong)
            if wrong:
                show_logs(directory)
            fleet.stop_stand_ins()
    print(json.dumps(figures))
    return 1 if wrong else 0


def show_logs(directory: pathlib.Path) -> None:
    """Print the end of each process's log."""
    for path in sorted(directory.glob("*.log")):
        tail = path.read_text(encoding="utf-8")[-1500:]
        say(f"--- {path.name}\n{tail}")


if __name__ == "__main__":
    sys.exit(main())
