"""Cost of ``knapweedctl`` by number of resources."""

from __future__ import annotations

import json
import os
import subprocess

from tools.launcher import BIN_DIRECTORY, SmallFleet
from tools.slopes.figure import Figure
from tools.slopes.reading import Reading
from tools.slopes.real_fleet import real_fleet, usages
from tools.slopes.slope import Slope

MILLISECONDS = 1_000


class ClientSlope(Slope):
    """``knapweedctl`` applies organisations to one host, then lists them."""

    name = "client-command"
    unit = "resources"
    sizes = (10, 100, 300)
    tiny_sizes = (1, 2)
    repeats = 1

    def measure(self, size: float) -> Reading:
        """Return the cost of applying and listing ``size`` organisations."""
        with real_fleet(1, engine_count=0) as fleet:
            path = fleet.directory / "resources.jsonc"
            path.write_text(json.dumps(_organisations(int(size))), encoding="utf-8")
            (before,) = usages(fleet, "control")
            applied = _run(fleet, "apply", str(path))
            (after,) = usages(fleet, "control")
            listed = _run(fleet, "get", "organisation")
        control = (after.cpu_seconds - before.cpu_seconds) * MILLISECONDS
        return Reading(
            size,
            (
                Figure("apply_cpu", "ms", _cpu_seconds(applied) * MILLISECONDS),
                Figure("control_cpu", "ms", control),
                Figure("list_cpu", "ms", _cpu_seconds(listed) * MILLISECONDS),
                Figure("list_resident", "KiB", listed.ru_maxrss),
            ),
        )


def _run(fleet: SmallFleet, *words: str) -> os.struct_rusage:
    """Run ``knapweedctl`` and return its resource usage."""
    server = f"http://127.0.0.1:{fleet.hosts[0].control_port}"
    argv = [str(BIN_DIRECTORY / "knapweedctl"), "--server", server, *words]
    process = subprocess.Popen(argv, stdout=subprocess.DEVNULL)
    _, status, usage = os.wait4(process.pid, 0)
    process.returncode = os.waitstatus_to_exitcode(status)
    if process.returncode != 0:
        raise SystemExit(f"knapweedctl {words}: exit code {process.returncode}")
    return usage


def _cpu_seconds(usage: os.struct_rusage) -> float:
    return usage.ru_utime + usage.ru_stime


def _organisations(count: int) -> list[dict[str, object]]:
    return [
        {
            "kind": "organisation",
            "name": f"organisation-{number:03}",
            "spec": {"key_digests": [f"{number:064x}"]},
        }
        for number in range(count)
    ]
