"""Fleet of real processes on loopback addresses."""

from __future__ import annotations

import contextlib
import pathlib
import tempfile
from collections.abc import Iterator

from tools.launcher import SmallFleet, wait_for_port
from tools.slopes.process_usage import ProcessUsage

ALL_ROLES = ("keeper", "router", "control")


@contextlib.contextmanager
def real_fleet(
    host_count: int, roles: tuple[str, ...] = ALL_ROLES, engine_count: int = 1
) -> Iterator[SmallFleet]:
    """Start the roles on each host; processes that still run on exit are killed."""
    with tempfile.TemporaryDirectory(prefix="knapweed-slopes-") as name:
        fleet = SmallFleet(pathlib.Path(name), host_count, engine_count)
        try:
            for launched in fleet.stand_ins():
                wait_for_port(launched)
            for host in fleet.hosts:
                for role in roles:
                    fleet.start_process(host, role)
            for host in fleet.hosts:
                for launched in host.processes.values():
                    wait_for_port(launched)
            yield fleet
        finally:
            fleet.kill()


def usages(fleet: SmallFleet, role: str) -> list[ProcessUsage]:
    """Return the usage of each host's process of a role, in the order of hosts."""
    return [ProcessUsage.of(host.processes[role].process.pid) for host in fleet.hosts]
