"""Starts the project's own hosts as the deploy file says, and keeps the record."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

from review.standins import client
from review.standins.store import Store

ROOT = pathlib.Path(__file__).parent.parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
READY_SECONDS = 20.0

_given: set[int] = set()


class CannotRun(Exception):
    """The case couldn't run."""


def free_port() -> int:
    """Return a port below those of outgoing channels that is free now."""
    while True:
        port = random.SystemRandom().randrange(15_000, 32_000)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            if port not in _given:
                _given.add(port)
                return port


class Record:
    """Writes record.txt, with the seconds since its start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._started = time.monotonic()

    def __call__(self, text: str) -> None:
        line = f"{time.monotonic() - self._started:8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()


class Host:
    """One host of the fleet: its settings, its addresses and its process."""

    def __init__(self, fleet: Fleet, name: str, zone: str) -> None:
        self.fleet = fleet
        self.name = name
        self.zone = zone
        self.front, self.ready, self.directory = (
            f"127.0.0.1:{free_port()}" for _ in range(3)
        )
        self.internal = free_port()
        self.metrics = free_port()
        self.settings = fleet.folder / f"{name}.toml"
        self.process: asyncio.subprocess.Process | None = None
        self.log = fleet.folder / f"{name}.log"
        self.first_start = True

    def _settings_text(self) -> str:
        return f"""
nodeName = "{self.name}"
ip = "127.0.0.1"
zone = "{self.zone}"
region = "region"
internalPorts = [{self.internal}, {self.internal}]
bootstrap = {str(self.first_start).lower()}
heartbeatMs = 1200
[listen]
front = "{self.front}"
readyAddress = "{self.ready}"
directory = "{self.directory}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 150
maxFds = 4100
linkMbps = 1000.0
[bounds]
stableWindowMs = 3000
drainMs = 2000
graceS = 8
configApplyMs = 2000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 54
ttl_max_s = 5
[platform]
address = "{self.fleet.store.address}"
form = "log"
"""

    async def start(self) -> None:
        """Start the process with the deploy file's command."""
        self.settings.write_text(self._settings_text())
        self.first_start = False
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = deploy["roles"]["entry"]["run"].split(" ")
        words = [str(self.metrics) if word == "9464" else word for word in words]
        words[0] = shutil.which(words[0]) or sys.executable
        env = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "KNAPWEEDDRUM_BOOT": str(self.settings),
        }
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.fleet.record(f"host {self.name}: started, pid {self.process.pid}")

    async def wait_ready(self) -> None:
        deadline = time.monotonic() + READY_SECONDS
        while time.monotonic() < deadline:
            if (await client.get(self.ready, "/-/ready"))[0] == 200:
                self.fleet.record(f"host {self.name}: ready")
                return
            await asyncio.sleep(0.02)
        raise CannotRun(f"{self.name} is not ready after {READY_SECONDS} s")

    def signal(self, number: signal.Signals) -> None:
        self.fleet.record(f"host {self.name}: {number.name}")
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def kill(self) -> None:
        self.signal(signal.SIGKILL)
        await self.process.wait()

    def events(self, name: str) -> list[dict]:
        """Return the lines of its log of one event."""
        found = []
        for line in self.log.read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                fields = json.loads(line)
                if fields.get("event") == name:
                    found.append(fields)
        return found


class Fleet:
    """The store, the hosts and the record of one case."""

    def __init__(self, case: pathlib.Path) -> None:
        self.record = Record(case / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.hosts: list[Host] = []

    async def add(self, name: str, zone: str = "zone-a") -> Host:
        host = Host(self, name, zone)
        self.hosts.append(host)
        await host.start()
        return host

    async def end(self) -> None:
        for host in self.hosts:
            process = host.process
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(play, case: pathlib.Path, seconds: float = 118.0) -> int:
    """Play a case; return 1 if the rule was broken, 0 if it held, 2 otherwise."""

    async def run() -> int:
        fleet = Fleet(case)
        fleet.record(f"TROUBLE={int(TROUBLE)}")
        try:
            await fleet.store.start()
            async with asyncio.timeout(seconds):
                is_broken = await play(fleet)
            fleet.record("RULE BROKEN" if is_broken else "rule held")
            return 1 if is_broken else 0
        except (CannotRun, TimeoutError, OSError) as exc:
            fleet.record(f"could not run: {exc!r}")
            return 2
        finally:
            await fleet.end()

    # Channels that are open at the end are dropped with the process.
    sys.unraisablehook = lambda _: None
    return asyncio.run(run())


def configuration(version: int, tenants: list[dict], **changes) -> dict:
    """Return a manifest with one engine and one plain service."""

    def route(name, prefix, kind, service, **more):
        return {
            "name": name,
            "host": "desk.example",
            "pathPrefix": prefix,
            "kind": kind,
            "service": service,
            "timeoutMs": 6000,
            "targetLatencyMs": 800,
            "priority": 1,
            "maxAttempts": 1,
            "allowAnonymous": False,
            "sessionAffinity": kind == "streaming",
            "resumable": False,
            **more,
        }

    return {
        "version": version,
        "routes": [
            route("draft", "/draft/", "streaming", "engine", gapAimMs=250),
            route("query", "/query/", "streaming", "engine", gapAimMs=250,
                  resumable=True, maxAttempts=2),
            route("book", "/book/", "unsafe", "stock", timeoutMs=1500),
            route("read", "/read/", "safe", "stock", timeoutMs=1500, maxAttempts=2),
        ],
        "services": [
            {"name": "engine", "healthPath": "/health", "maxConnections": 620,
             "protocol": "h1", "tls": False,
             "engine": {"slots": 128, "kvTokens": 221971, "stride": 3,
                        "models": [{"name": "m"}]}},
            {"name": "stock", "healthPath": "/health", "maxConnections": 100,
             "protocol": "h1", "tls": False},
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": tenants,
        **changes,
    }
