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
    BIN_DIRECTORY,
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
CONVERGENCE_TIMEOUT_SECONDS = 20.0
POLL_INTERVAL_SECONDS = 0.2
GRANT_RETURN_TIMEOUT_SECONDS = 3.0
MAX_SPEND_REQUESTS = 60


def print_progress(text: str) -> None:
    print(text, file=sys.stderr)


def run_knapweedctl(fleet: SmallFleet, *words: str) -> str:
    """Run knapweedctl and return what it prints."""
    servers: list[str] = []
    for host in fleet.hosts:
        servers += ["--server", f"http://127.0.0.1:{host.control_port}"]
    argv = [str(BIN_DIRECTORY / "knapweedctl"), *servers, "--output", "json", *words]
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


def apply_resources(fleet: SmallFleet) -> None:
    """Apply the resources and wait until every router uses them."""
    path = fleet.directory / "resources.jsonc"
    text = "// Resources of the demo\n" + json.dumps(resources(fleet), indent=2)
    path.write_text(text, encoding="utf-8")
    run_knapweedctl(fleet, "apply", str(path))
    caller = DemoCaller(API_KEY, "draft")
    limit = time.monotonic() + CONVERGENCE_TIMEOUT_SECONDS
    for host in fleet.hosts:
        while time.monotonic() < limit:
            result = caller.draft(router_url(host.router_port), "", 0)
            # A router reports bad_request only once it knows the API key.
            if result.reason == "bad_request":
                break
            time.sleep(POLL_INTERVAL_SECONDS)


def held_tokens_after_restart(fleet: SmallFleet) -> int:
    """Restart one host's keeper and control; return the tokens still held by grants."""
    host = fleet.hosts[0]
    for role in ("keeper", "control"):
        wait_for_port(fleet.start_process(host, role))
    limit = time.monotonic() + GRANT_RETURN_TIMEOUT_SECONDS
    while True:
        held = budget_status(fleet)["held"]
        if held == 0 or time.monotonic() > limit:
            return held
        time.sleep(POLL_INTERVAL_SECONDS)


def advised_hosts(fleet: SmallFleet, router: str) -> int:
    """Wait until the entry advice lists all hosts; return how many it lists."""
    limit = time.monotonic() + CONVERGENCE_TIMEOUT_SECONDS
    while True:
        advice = get_json(f"{router}/v1/entry")
        count = len(advice["hosts"])
        if count == len(fleet.hosts) or time.monotonic() > limit:
            return count
        time.sleep(POLL_INTERVAL_SECONDS)


def router_url(port: int) -> str:
    return f"http://127.0.0.1:{port}"


def spend_until_exhausted(caller: DemoCaller, router: str) -> CallResult:
    """Send requests until the budget is exhausted; return that refusal.

    Retries while the remaining tokens are held by another router.
    """
    for _ in range(MAX_SPEND_REQUESTS):
        result = caller.draft(router, "more", DRAFT_TOKENS)
        if result.reason == "budget_unreachable":
            time.sleep(1.0)
            continue
        if not result.complete:
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
    return json.loads(run_knapweedctl(fleet, "budgets", BUDGET))["budgets"][0]


def settled_status(fleet: SmallFleet) -> dict[str, int]:
    """Wait until every run is billed and return the budget's status."""
    limit = time.monotonic() + CONVERGENCE_TIMEOUT_SECONDS
    while True:
        status = budget_status(fleet)
        if status["bills"] >= len(engine_runs(fleet)) or time.monotonic() > limit:
            return status
        time.sleep(POLL_INTERVAL_SECONDS)


def refusals(fleet: SmallFleet) -> int:
    """Return the sum of the routers' counters of budget_exhausted refusals."""
    total = 0
    for host in fleet.hosts:
        counts = get_json(f"{router_url(host.router_port)}/-/counters")
        total += counts.get("refusal.budget_exhausted", 0)
    return total


def check(condition: bool, text: str, failures: list[str]) -> None:
    print_progress(f"{'ok  ' if condition else 'FAIL'} {text}")
    if not condition:
        failures.append(text)


def run(fleet: SmallFleet, failures: list[str]) -> dict[str, int]:
    """Run the demo's requests and return the figures."""
    apply_resources(fleet)
    run_knapweedctl(
        fleet, "top-up", BUDGET, str(FIRST_DEPOSIT_TOKENS), "--topup-id", "first"
    )
    routers = [router_url(host.router_port) for host in fleet.hosts]
    check(
        advised_hosts(fleet, routers[1]) == len(fleet.hosts), "entry advice", failures
    )
    caller = DemoCaller(API_KEY, "draft")

    answer = caller.draft(routers[0], "Draft a tender reply.", DRAFT_TOKENS)
    check(answer.complete, f"draft streamed: {answer.status} {answer.reason}", failures)
    cut = caller.draft(
        routers[1], "Draft a long one.", CANCELLED_DRAFT_TOKENS, stop_after=3
    )
    check(
        cut.status == 200 and not cut.complete,
        "draft cancelled by its caller",
        failures,
    )
    booking = b'{"lot": "Ti-64", "kilograms": 500}'
    first = caller.book(routers[0], "orders", "booking-1", booking)
    again = caller.book(routers[2], "orders", "booking-1", booking)
    check(first.complete, f"booked: {first.status} {first.reason}", failures)
    check(again.text == first.text, "same booking, same answer", failures)

    spent = spend_until_exhausted(caller, routers[0])
    check(
        (spent.status, spent.reason) == (402, "budget_exhausted"),
        f"budget exhausted: {spent.status} {spent.reason}",
        failures,
    )
    run_knapweedctl(fleet, "top-up", BUDGET, str(TOP_UP_TOKENS), "--topup-id", "second")
    run_knapweedctl(fleet, "top-up", BUDGET, str(TOP_UP_TOKENS), "--topup-id", "second")
    after = caller.draft(routers[2], "Once more.", DRAFT_TOKENS)
    check(after.complete, f"served after the top-up: {after.reason}", failures)

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
    check(status["deposited"] == deposits, "each top-up counted once", failures)
    check(
        figures["billed_tokens"] == consumed,
        f"billed {figures['billed_tokens']} of {consumed} tokens consumed at engines",
        failures,
    )
    check(figures["billed_requests"] == len(runs), "each run billed once", failures)
    check(figures["cancelled"] == 1, "one run cancelled at the engine", failures)
    check(figures["refused"] >= 1, "refusals counted", failures)
    check(figures["bookings_run"] == 1, "the booking ran once", failures)
    check(figures["overspent_tokens"] == 0, "no tokens overspent", failures)
    return figures


def main() -> int:
    failures: list[str] = []
    with tempfile.TemporaryDirectory(prefix="knapweed-demo-") as name:
        directory = pathlib.Path(name)
        with small_fleet(directory) as fleet:
            for engine in fleet.engines:
                post_json(f"{engine.url}/-/switches", {"token_seconds": 0.005})
            try:
                figures = run(fleet, failures)
                codes = fleet.stop()
            except SystemExit:
                print_logs(directory)
                raise
            check(set(codes) == {0}, f"graceful stop, exit codes {codes}", failures)
            held = held_tokens_after_restart(fleet)
            check(held == 0, f"grants returned, {held} tokens still held", failures)
            if failures:
                print_logs(directory)
            fleet.stop_stand_ins()
    print(json.dumps(figures))
    return 1 if failures else 0


def print_logs(directory: pathlib.Path) -> None:
    """Print the end of each process's log."""
    for path in sorted(directory.glob("*.log")):
        tail = path.read_text(encoding="utf-8")[-1500:]
        print_progress(f"--- {path.name}\n{tail}")


if __name__ == "__main__":
    sys.exit(main())
