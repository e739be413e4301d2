"""A small fleet of real processes with its resources applied."""

from __future__ import annotations

import contextlib
import json
import pathlib
import signal
import tempfile
from collections.abc import Iterator

import msgspec

from tests.fleet.conditions import wait_until
from tests.fleet.fleet_answer import FleetAnswer
from tests.fleet.fleet_operator import FleetOperator
from tests.fleet.resources import fleet_resources
from tests.standins.run_ledger_entry import RunLedgerEntry
from tools.demo import run_knapweedctl
from tools.launcher import (
    LaunchedProcess,
    SmallFleet,
    get_json,
    post_json,
    wait_for_port,
)

RUN_LEDGER = list[RunLedgerEntry]

LOG_TAIL_LINES = 60
"""Last lines of each log to print when a test fails."""


class FleetBench:
    """Injects faults into a fleet and reads the records of its stand-ins."""

    def __init__(self, fleet: SmallFleet) -> None:
        self.fleet = fleet
        self.operators = [
            FleetOperator(f"http://127.0.0.1:{host.control_port}")
            for host in fleet.hosts
        ]
        self.routers = [f"http://127.0.0.1:{host.router_port}" for host in fleet.hosts]

    def apply_resources(self, budgets: tuple[str, ...]) -> None:
        """Apply the resources and wait until each router uses them."""
        path = self.fleet.directory / "resources.jsonc"
        path.write_text(json.dumps(fleet_resources(self.fleet, budgets)))
        run_knapweedctl(self.fleet, "apply", str(path))
        for index in range(len(self.routers)):
            self.await_config(index)
        wait_until(self._all_routers_advised, "entry advice with all hosts")

    def await_config(self, index: int) -> None:
        """Wait until a router uses the newest configuration."""
        # A control process answers not_ready shortly after its start.
        last = wait_until(self._rule_resource, "the configuration at an operator")
        offset = json.loads(last.body)["offset"]
        wait_until(
            lambda: self.health(index)["config_offset"] >= offset,
            f"configuration at router {index}",
        )

    def _rule_resource(self) -> FleetAnswer | None:
        last = self.operators[0].send("GET", "/v1/resources/rule/reservations")
        return last if last.status == 200 else None

    def health(self, index: int) -> dict[str, object]:
        """Return a router's health document."""
        return get_json(f"{self.routers[index]}/healthz")

    def advised_routers(self, index: int) -> set[str]:
        """Return the URLs of the routers in one router's entry advice."""
        hosts = get_json(f"{self.routers[index]}/v1/entry")["hosts"]
        return {f"http://{host['address']}:{host['port']}" for host in hosts}

    def switch(self, stand_in: LaunchedProcess, **switches: object) -> None:
        """Set the fault switches of a stand-in."""
        post_json(f"{stand_in.url}/-/switches", switches)

    def switch_engines(self, **switches: object) -> None:
        """Set the fault switches of all engines."""
        for engine in self.fleet.engines:
            self.switch(engine, **switches)

    def process(self, index: int, role: str) -> LaunchedProcess:
        """Return a process of a host."""
        return self.fleet.hosts[index].processes[role]

    def kill(self, index: int, role: str) -> None:
        """Kill a process and wait for its end."""
        launched = self.process(index, role)
        launched.process.kill()
        launched.process.wait()

    def restart(self, index: int, role: str) -> LaunchedProcess:
        """Start a new incarnation of a process that has ended."""
        launched = self.fleet.start_process(self.fleet.hosts[index], role)
        wait_for_port(launched)
        return launched

    @contextlib.contextmanager
    def paused(self, index: int, role: str) -> Iterator[None]:
        """Pause a process with SIGSTOP; resume it on exit."""
        process = self.process(index, role).process
        process.send_signal(signal.SIGSTOP)
        try:
            yield
        finally:
            process.send_signal(signal.SIGCONT)

    def has_logged(self, index: int, role: str, event: str) -> bool:
        """Return whether a process has logged an event."""
        text = self.process(index, role).log_path.read_text(encoding="utf-8")
        return f'"event": "{event}"' in text

    def runs(self) -> RUN_LEDGER:
        """Return the runs of all engines by start time."""
        runs: RUN_LEDGER = []
        for engine in self.fleet.engines:
            entries = get_json(f"{engine.url}/-/records")["runs"]
            runs += msgspec.convert(entries, RUN_LEDGER)
        return sorted(runs, key=lambda run: run.started_at)

    def bookings(self, key: str) -> int:
        """Return how often the plain service ran the booking with this key."""
        entries = get_json(f"{self.fleet.service.url}/-/records")["executions"]
        return sum(e["count"] for e in entries if e["key"] == key)

    def _all_routers_advised(self) -> bool:
        indices = range(len(self.routers))
        return all(self.advised_routers(i) == set(self.routers) for i in indices)


def consumed_tokens(runs: RUN_LEDGER) -> int:
    """Return the tokens consumed by the runs that started."""
    return sum(run.prompt_tokens + run.output_tokens for run in runs if run.started_at)


@contextlib.contextmanager
def fleet_bench(
    budgets: tuple[str, ...] = ("main",), host_count: int = 3, **settings: object
) -> Iterator[FleetBench]:
    """Start a fleet with resources; processes that still run on exit are killed."""
    with tempfile.TemporaryDirectory(prefix="knapweed-test-") as name:
        fleet = SmallFleet(pathlib.Path(name), host_count, **settings)
        try:
            fleet.start()
            bench = FleetBench(fleet)
            bench.apply_resources(budgets)
            yield bench
        except BaseException:
            _print_logs(fleet)
            raise
        finally:
            fleet.kill()


def _print_logs(fleet: SmallFleet) -> None:
    """Print the end of each log before the fleet's directory is deleted."""
    for host in fleet.hosts:
        for role, launched in sorted(host.processes.items()):
            print(f"--- {host.name} {role}")
            text = launched.log_path.read_text(encoding="utf-8", errors="replace")
            for line in text.splitlines()[-LOG_TAIL_LINES:]:
                print(line)
