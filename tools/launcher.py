"""Starts and stops the processes of a small fleet on loopback addresses."""

from __future__ import annotations

import contextlib
import dataclasses
import json
import pathlib
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator

import httpcore

from tools.free_ports import free_ports

START_TIMEOUT_SECONDS = 30.0
STOP_TIMEOUT_SECONDS = 30.0
POLL_INTERVAL_SECONDS = 0.05
FLEET_KEY = "demo-fleet-key-0123456789"
BIN_DIRECTORY = pathlib.Path(sys.executable).parent


@dataclasses.dataclass(slots=True)
class LaunchedProcess:
    """A started process, its address and its log file."""

    name: str
    process: subprocess.Popen[bytes]
    port: int
    log_path: pathlib.Path

    @property
    def url(self) -> str:
        return f"http://127.0.0.1:{self.port}"

    def stop(self) -> int:
        """Send SIGTERM and return the exit code."""
        self.terminate()
        return self.wait()

    def terminate(self) -> None:
        """Send SIGTERM if the process still runs."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)

    def wait(self) -> int:
        """Return the exit code; kills the process after ``STOP_LIMIT_SECONDS``."""
        try:
            return self.process.wait(STOP_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
            return -signal.SIGKILL


@dataclasses.dataclass(slots=True)
class Host:
    """The three processes of one entry host."""

    name: str
    settings_path: pathlib.Path
    router_port: int
    keeper_port: int
    control_port: int
    processes: dict[str, LaunchedProcess] = dataclasses.field(default_factory=dict)


def launch(
    name: str, argv: list[str], port: int, directory: pathlib.Path
) -> LaunchedProcess:
    """Start a process that writes its output to a log file in ``directory``."""
    log_path = directory / f"{name}.log"
    with log_path.open("ab") as output:
        process = subprocess.Popen(argv, stdout=output, stderr=output)
    return LaunchedProcess(name, process, port, log_path)


def stand_in(
    module: str, name: str, port: int, directory: pathlib.Path
) -> LaunchedProcess:
    """Start a stand-in for an external system."""
    argv = [sys.executable, "-m", f"tests.standins.{module}"]
    argv += ["--address", "127.0.0.1", "--port", str(port)]
    return launch(name, argv, port, directory)


def wait_for_port(launched: LaunchedProcess) -> None:
    """Wait until the process accepts connections on its port."""
    limit = time.monotonic() + START_TIMEOUT_SECONDS
    while time.monotonic() < limit:
        if launched.process.poll() is not None:
            break
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.settimeout(1.0)
            sock.connect(("127.0.0.1", launched.port))
            return
        time.sleep(POLL_INTERVAL_SECONDS)
    tail = launched.log_path.read_text(encoding="utf-8")[-2000:]
    raise SystemExit(f"{launched.name} does not accept connections:\n{tail}")


def get_json(url: str) -> object:
    """Return the JSON document at a URL."""
    with httpcore.ConnectionPool() as pool:
        return json.loads(pool.request("GET", url).content)


def post_json(url: str, document: object) -> None:
    """Send a JSON document."""
    with httpcore.ConnectionPool() as pool:
        body = json.dumps(document).encode()
        headers = {"content-type": "application/json"}
        response = pool.request("POST", url, headers=headers, content=body)
    if response.status >= 300:
        raise SystemExit(f"{url}: {response.status} {response.content!r}")


class SmallFleet:
    """Stand-ins and entry hosts, with settings and logs in one directory."""

    def __init__(
        self,
        directory: pathlib.Path,
        host_count: int,
        engine_count: int = 2,
        weigh: str = "overspend",
        witnessed: bool = True,
    ) -> None:
        self.directory = directory
        self.weigh = weigh
        self.witnessed = witnessed
        ports = free_ports(3 + engine_count + 3 * host_count)
        self.log = stand_in("append_log", "log", ports.pop(), directory)
        self.host_list = stand_in("host_list", "hosts", ports.pop(), directory)
        self.service = stand_in("plain_service", "orders", ports.pop(), directory)
        self.engines = [
            stand_in("model_engine", f"engine-{index}", ports.pop(), directory)
            for index in range(engine_count)
        ]
        self.hosts = [
            self._describe(f"host-{index}", ports) for index in range(host_count)
        ]
        for host in self.hosts:
            self._write_settings(host)

    def stand_ins(self) -> list[LaunchedProcess]:
        """Return the stand-ins for external systems."""
        return [
            self.log,
            self.host_list,
            self.service,
            *self.engines,
        ]

    def start(self) -> None:
        """Start all processes not yet started and wait until they listen."""
        for launched in self.stand_ins():
            wait_for_port(launched)
        # A router that finds no keeper at its own host fails over for 15 seconds.
        self._start_roles(("keeper",))
        self._start_roles(("router", "control"))

    def _start_roles(self, roles: tuple[str, ...]) -> None:
        """Start the missing processes of these roles and wait until they listen."""
        for host in self.hosts:
            for role in roles:
                if role not in host.processes:
                    self.start_process(host, role)
        for host in self.hosts:
            for role in roles:
                wait_for_port(host.processes[role])

    def start_process(self, host: Host, role: str) -> LaunchedProcess:
        """Start one process of a host."""
        argv = [str(BIN_DIRECTORY / f"knapweed-{role}"), str(host.settings_path)]
        port = getattr(host, f"{role}_port")
        launched = launch(f"{host.name}-{role}", argv, port, self.directory)
        host.processes[role] = launched
        return launched

    def stop(self) -> list[int]:
        """Stop the processes of all hosts in parallel and return their exit codes."""
        running = [
            launched for host in self.hosts for launched in host.processes.values()
        ]
        for launched in running:
            launched.terminate()
        return [launched.wait() for launched in running]

    def stop_stand_ins(self) -> None:
        """Stop the stand-ins."""
        for launched in self.stand_ins():
            launched.stop()

    def kill(self) -> None:
        """Kill all processes that still run."""
        running = [
            launched for host in self.hosts for launched in host.processes.values()
        ]
        for launched in running + self.stand_ins():
            if launched.process.poll() is None:
                launched.process.kill()
                launched.process.wait()

    def _describe(self, name: str, ports: list[int]) -> Host:
        path = self.directory / f"{name}.jsonc"
        return Host(name, path, ports.pop(), ports.pop(), ports.pop())

    def _write_settings(self, host: Host) -> None:
        document = {
            "fleet": {"name": "demo", "key": FLEET_KEY},
            "host": self._host_settings(host),
            "peers": [
                self._host_settings(peer) for peer in self.hosts if peer is not host
            ],
            "platform": {
                "log": self.log.url,
                "host_list": self.host_list.url,
            },
            "budgets": {"weigh": self.weigh, "witnessed": self.witnessed},
            "router": {"advice_lifetime_seconds": 1.0},
        }
        text = "// Written by tools/launcher.py\n" + json.dumps(document, indent=2)
        host.settings_path.write_text(text, encoding="utf-8")

    def _host_settings(self, host: Host) -> dict[str, object]:
        index = self.hosts.index(host)
        return {
            "name": host.name,
            "region": "loopback",
            "data_centre": f"dc-{index}",
            "address": "127.0.0.1",
            "router_port": host.router_port,
            "keeper_port": host.keeper_port,
            "control_port": host.control_port,
        }


@contextlib.contextmanager
def small_fleet(
    directory: pathlib.Path, host_count: int = 3, weigh: str = "overspend"
) -> Iterator[SmallFleet]:
    """Start a fleet; processes that still run on exit are killed."""
    fleet = SmallFleet(directory, host_count, weigh=weigh)
    try:
        fleet.start()
        yield fleet
    finally:
        fleet.kill()
