"""Time until a starting keeper has replayed the log, by records."""

from __future__ import annotations

import time

import httpcore

from tools.launcher import LaunchedProcess, SmallFleet
from tools.slopes.batch_payloads import batch_payloads, prerequisite_payload
from tools.slopes.fact_maker import BillMaker
from tools.slopes.figure import Figure
from tools.slopes.process_usage import KIB, ProcessUsage
from tools.slopes.reading import Reading
from tools.slopes.real_fleet import real_fleet
from tools.slopes.slope import Slope

STREAM = "budget-0"
BILLS_PER_RECORD = 16
POLL_INTERVAL_SECONDS = 0.01
READY_TIMEOUT_SECONDS = 120.0
MILLISECONDS = 1_000


class CatchUpSlope(Slope):
    """A real keeper reads a stream of bills, 16 in each record, from its start."""

    name = "catch-up"
    unit = "records"
    sizes = (0, 1_000, 4_000)
    tiny_sizes = (0, 4)
    repeats = 2

    def measure(self, size: float) -> Reading:
        """Return time and resources of a keeper's start with ``size`` records."""
        maker = BillMaker()
        bills = int(size) * BILLS_PER_RECORD
        payloads = [
            prerequisite_payload(maker),
            *batch_payloads(maker, bills, BILLS_PER_RECORD),
        ]
        with real_fleet(1, (), engine_count=0) as fleet:
            self._append_payloads(fleet, payloads)
            start = time.monotonic()
            keeper = fleet.start_process(fleet.hosts[0], "keeper")
            self._wait_until_ready(keeper)
            seconds = time.monotonic() - start
            usage = ProcessUsage.of(keeper.process.pid)
        return Reading(
            size,
            (
                Figure("ready", "ms", seconds * MILLISECONDS),
                Figure("cpu", "ms", usage.cpu_seconds * MILLISECONDS),
                Figure("payload", "bytes", sum(map(len, payloads))),
                Figure("resident", "KiB", usage.resident_bytes / KIB),
            ),
        )

    @staticmethod
    def _append_payloads(fleet: SmallFleet, payloads: list[bytes]) -> None:
        url = f"{fleet.log.url}/v1/streams/{STREAM}/records"
        with httpcore.ConnectionPool() as pool:
            for payload in payloads:
                pool.request("POST", url, content=payload)

    @staticmethod
    def _wait_until_ready(keeper: LaunchedProcess) -> None:
        limit = time.monotonic() + READY_TIMEOUT_SECONDS
        while time.monotonic() < limit:
            for line in keeper.log_path.read_text(encoding="utf-8").splitlines():
                if "stream_ready" in line and STREAM in line:
                    return
            time.sleep(POLL_INTERVAL_SECONDS)
        raise SystemExit("keeper has not replayed the log within the time limit")
