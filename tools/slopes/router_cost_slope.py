"""Processor time of a real router per request, by tokens of the answer."""

from __future__ import annotations

import concurrent.futures
import time

from tools.demo import API_KEY, BUDGET, apply_resources, router_url, run_knapweedctl
from tools.demo_caller import CallResult, DemoCaller
from tools.launcher import SmallFleet, get_json, post_json
from tools.slopes.cpu_timer import MICROSECONDS
from tools.slopes.figure import Figure
from tools.slopes.process_usage import KIB
from tools.slopes.reading import Reading
from tools.slopes.real_fleet import real_fleet, usages
from tools.slopes.slope import Slope

REQUESTS = 96
WARM_UP_REQUESTS = 16
CALLERS = 8
TOKEN_SECONDS = 0.004
TOP_UP_TOKENS = 100_000_000
SETTLEMENT_DELAY_SECONDS = 1.0


class RouterCostSlope(Slope):
    """One host, one engine, eight concurrent callers, a connection for each request.

    The engine sends a token every 4 ms, so that the router forwards each one
    separately. The keeper's figures cover draws, bills and locate calls of the same
    requests, and its background work meanwhile.
    """

    name = "router-request"
    unit = "tokens"
    sizes = (10, 100, 400)
    tiny_sizes = (1, 2)
    repeats = 2

    def __init__(self, requests: int = REQUESTS) -> None:
        self._requests = requests

    def measure(self, size: float) -> Reading:
        """Return the cost per request with answers of ``size`` tokens."""
        with real_fleet(1) as fleet:
            for engine in fleet.engines:
                switches = {"token_seconds": TOKEN_SECONDS}
                post_json(f"{engine.url}/-/switches", switches)
            apply_resources(fleet)
            run_knapweedctl(
                fleet, "top-up", BUDGET, str(TOP_UP_TOKENS), "--topup-id", "slopes"
            )
            self._send_requests(fleet, int(size), WARM_UP_REQUESTS)
            return self._measure(fleet, size)

    def _measure(self, fleet: SmallFleet, size: float) -> Reading:
        (router,) = usages(fleet, "router")
        (keeper,) = usages(fleet, "keeper")
        appends = _appends(fleet)
        complete = self._send_requests(fleet, int(size), self._requests)
        time.sleep(SETTLEMENT_DELAY_SECONDS)
        (router_after,) = usages(fleet, "router")
        (keeper_after,) = usages(fleet, "keeper")
        router_cpu = router_after.cpu_seconds - router.cpu_seconds
        keeper_cpu = keeper_after.cpu_seconds - keeper.cpu_seconds
        microseconds_per_request = MICROSECONDS / self._requests
        return Reading(
            size,
            (
                Figure(
                    "router_cpu", "us/request", router_cpu * microseconds_per_request
                ),
                Figure(
                    "keeper_cpu", "us/request", keeper_cpu * microseconds_per_request
                ),
                Figure(
                    "appends",
                    "appends/request",
                    (_appends(fleet) - appends) / self._requests,
                ),
                Figure("not_whole", "requests", self._requests - complete),
                Figure("router_resident", "KiB", router_after.resident_bytes / KIB),
            ),
        )

    @staticmethod
    def _send_requests(fleet: SmallFleet, tokens: int, count: int) -> int:
        """Send requests and return how many were answered completely."""
        url = router_url(fleet.hosts[0].router_port)
        caller = DemoCaller(API_KEY, "draft")

        def ask(number: int) -> CallResult:
            return caller.draft(url, f"Draft number {number}.", tokens)

        with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
            return sum(result.complete for result in pool.map(ask, range(count)))


def _appends(fleet: SmallFleet) -> int:
    return int(get_json(f"{fleet.log.url}/-/records")["appends"])
