"""Cost of idle processes, by hosts."""

from __future__ import annotations

import statistics
import time

from tools.slopes.figure import Figure
from tools.slopes.process_usage import KIB
from tools.slopes.reading import Reading
from tools.slopes.real_fleet import real_fleet, usages
from tools.slopes.slope import Slope

SETTLE_SECONDS = 5.0
RUN_SECONDS = 5.0
MILLISECONDS = 1_000


class IdleSlope(Slope):
    """Processor time and memory of processes without requests."""

    unit = "hosts"
    repeats = 2

    def __init__(
        self,
        name: str,
        roles: tuple[str, ...],
        sizes: tuple[float, ...],
        settle_seconds: float = SETTLE_SECONDS,
        run_seconds: float = RUN_SECONDS,
    ) -> None:
        self.name = name
        self.sizes = sizes
        self.tiny_sizes = (1, 2)
        self._roles = roles
        self._settle_seconds = settle_seconds
        self._run_seconds = run_seconds

    def measure(self, size: float) -> Reading:
        """Return the usage of each role's idle processes with ``size`` hosts."""
        figures: list[Figure] = []
        with real_fleet(int(size), self._roles, engine_count=0) as fleet:
            time.sleep(self._settle_seconds)
            before = {role: usages(fleet, role) for role in self._roles}
            time.sleep(self._run_seconds)
            for role in self._roles:
                after = usages(fleet, role)
                seconds = statistics.fmean(
                    late.cpu_seconds - early.cpu_seconds
                    for early, late in zip(before[role], after, strict=True)
                )
                resident = statistics.fmean(usage.resident_bytes for usage in after)
                cpu = seconds / self._run_seconds * MILLISECONDS
                figures.append(Figure(f"{role}_cpu", "ms/s", cpu))
                figures.append(Figure(f"{role}_resident", "KiB", resident / KIB))
                shares = statistics.fmean(usage.proportional_bytes for usage in after)
                figures.append(Figure(f"{role}_proportional", "KiB", shares / KIB))
        return Reading(size, tuple(figures))
