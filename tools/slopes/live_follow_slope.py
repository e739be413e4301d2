"""Processor time of a real keeper, by records per second on a stream."""

from __future__ import annotations

import time
from collections.abc import Iterator

import httpcore

from tools.launcher import SmallFleet
from tools.slopes.batch_payloads import batch_payloads, prerequisite_payload
from tools.slopes.fact_maker import BillMaker
from tools.slopes.figure import Figure
from tools.slopes.process_usage import KIB
from tools.slopes.reading import Reading
from tools.slopes.real_fleet import real_fleet, usages
from tools.slopes.slope import Slope

SETTLE_SECONDS = 3.0
RUN_SECONDS = 4.0
MILLISECONDS = 1_000


class LiveFollowSlope(Slope):
    """A keeper follows bills appended by others, ``batch`` in each record."""

    unit = "records/s"
    sizes = (0, 100, 400)
    tiny_sizes = (0, 10)
    repeats = 2

    def __init__(
        self,
        batch: int,
        settle_seconds: float = SETTLE_SECONDS,
        run_seconds: float = RUN_SECONDS,
    ) -> None:
        self.name = f"live-follow-{batch}"
        self._batch = batch
        self._settle_seconds = settle_seconds
        self._run_seconds = run_seconds

    def measure(self, size: float) -> Reading:
        """Return a keeper's usage at ``size`` records per second."""
        count = int(size * self._run_seconds)
        maker = BillMaker()
        payloads = batch_payloads(maker, count * self._batch, self._batch)
        with real_fleet(1, ("keeper",), engine_count=0) as fleet:
            time.sleep(self._settle_seconds)
            self._append_paced(fleet, iter([prerequisite_payload(maker)]), 1.0)
            (before,) = usages(fleet, "keeper")
            start = time.monotonic()
            self._append_paced(fleet, payloads, size)
            time.sleep(max(0.0, start + self._run_seconds - time.monotonic()))
            (after,) = usages(fleet, "keeper")
            seconds = time.monotonic() - start
        cpu = (after.cpu_seconds - before.cpu_seconds) / seconds * MILLISECONDS
        return Reading(
            size,
            (
                Figure("cpu", "ms/s", cpu),
                Figure("resident", "KiB", after.resident_bytes / KIB),
                Figure("rate", "records/s", count / seconds),
            ),
        )

    @staticmethod
    def _append_paced(
        fleet: SmallFleet, payloads: Iterator[bytes], rate: float
    ) -> None:
        url = f"{fleet.log.url}/v1/streams/budget-0/records"
        start = time.monotonic()
        with httpcore.ConnectionPool() as pool:
            for number, payload in enumerate(payloads):
                time.sleep(max(0.0, start + number / rate - time.monotonic()))
                pool.request("POST", url, content=payload)
