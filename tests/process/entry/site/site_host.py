"""A host of a played site: one real entry process after the other at its addresses."""

from __future__ import annotations

import contextlib
import dataclasses
import json
import os
import pathlib
import random
import signal
import socket
import sys
import time

import anyio
import anyio.abc

from knapweeddrum.http.client_connection import ClientConnection
from knapweeddrum.http.exceptions import ExchangeError
from tests.process.entry.site.site_history import HostEvent, SiteHistory
from tests.process.entry.site.site_shape import SiteShape

CALLER_PORT = 8227
READY_PORT = 8220
DIRECTORY_PORT = 8224
PEER_PORT = 7340
METRICS_PORT = 9464
READY_HEADERS = [(b"Host", b"desk.example")]
RESTART_SECONDS = (0.3, 1.0)
"""Least and most time between the end of a process and the start of the next."""
THROTTLE_PERIOD_SECONDS = 0.1
THROTTLED_SECONDS = 0.046
"""Part of each period for which a host with half a core stands still."""


@dataclasses.dataclass(frozen=True, slots=True)
class HostPlace:
    """Where a host stands."""

    name: str
    data_centre: str
    ip: str

    @property
    def caller_address(self) -> str:
        return f"{self.ip}:{CALLER_PORT}"

    @property
    def ready_address(self) -> str:
        return f"{self.ip}:{READY_PORT}"

    @property
    def directory_address(self) -> str:
        return f"{self.ip}:{DIRECTORY_PORT}"


class SiteHost:
    """Keeps an entry process running, and records what is done to it."""

    def __init__(
        self,
        place: HostPlace,
        shape: SiteShape,
        store_address: str,
        sources: pathlib.Path,
        folder: pathlib.Path,
        history: SiteHistory,
        rng: random.Random,
    ) -> None:
        self.place = place
        self._shape = shape
        self._sources = sources
        self._folder = folder
        self._history = history
        self._rng = rng
        self._process: anyio.abc.Process | None = None
        self._starts = 0
        self._is_stopping = False
        self._is_killed = False
        self._signals: list[HostEvent] = []
        """Signals to the process that runs."""
        self._settings = folder / f"{place.name}.toml"
        self._settings.write_text(_settings_text(place, shape, store_address))

    @property
    def is_running(self) -> bool:
        return self._process is not None and self._process.returncode is None

    @property
    def is_draining(self) -> bool:
        return self.is_running and self._is_stopping

    async def is_ready(self) -> bool:
        """Return whether the host says that it is ready."""
        with contextlib.suppress(ExchangeError, OSError):
            conn = await ClientConnection.connect(self.place.ready_address, 1.0)
            try:
                async with conn.exchange(
                    b"GET", b"/-/ready", READY_HEADERS, b""
                ) as head:
                    return head.status == 200
            finally:
                await conn.close()
        return False

    async def keep_running(self) -> None:
        """Start the process, and again some time after each end, until cancelled."""
        while True:
            with self._log_path().open("wb") as log:
                await self._run_once(log)
            await anyio.sleep(self._rng.uniform(*RESTART_SECONDS))

    async def stop(self) -> None:
        """Send SIGTERM, and SIGKILL after the grace period; return at its end."""
        process = self._process
        event = self.send(signal.SIGTERM)
        if event is None or process is None:
            return
        self._is_stopping = True
        with anyio.move_on_after(self._shape.grace) as scope:
            await process.wait()
        if scope.cancelled_caught:
            self._history.kills_at_grace.append(event)
            _signal_if_running(process, signal.SIGKILL)

    def send(self, number: signal.Signals) -> HostEvent | None:
        """Send a signal; return its record, None if no process runs."""
        if not self.is_running:
            return None
        assert self._process is not None
        self._process.send_signal(number)
        event = HostEvent(self.place.name, time.monotonic())
        self._signals.append(event)
        records = {
            signal.SIGTERM: self._history.stops,
            signal.SIGHUP: self._history.hangups,
        }
        records[number].append(event)
        return event

    def kill(self) -> None:
        """Kill the process, an unplanned disturbance."""
        if not self.is_running:
            return
        assert self._process is not None
        self._is_killed = True
        self._process.kill()
        now = time.monotonic()
        self._history.disturbances.append(HostEvent(self.place.name, now, now))

    async def freeze(self, seconds: float) -> None:
        """Suspend the process, an unplanned disturbance."""
        event = HostEvent(self.place.name, time.monotonic())
        self._history.disturbances.append(event)
        await self._suspend(seconds)
        event.ended_at = time.monotonic()

    async def throttle(self) -> None:
        """Let the process run for half of the time only, until cancelled."""
        await anyio.sleep(self._rng.uniform(0.0, THROTTLE_PERIOD_SECONDS))
        while True:
            await self._suspend(THROTTLED_SECONDS)
            await anyio.sleep(THROTTLE_PERIOD_SECONDS - THROTTLED_SECONDS)

    async def _suspend(self, seconds: float) -> None:
        process = self._process
        if process is None:
            await anyio.sleep(seconds)
            return
        try:
            _signal_if_running(process, signal.SIGSTOP)
            await anyio.sleep(seconds)
        finally:
            _signal_if_running(process, signal.SIGCONT)

    async def _run_once(self, log: object) -> None:
        command = [
            sys.executable,
            str(self._sources / "src" / "run_entry.py"),
            "--metrics-port",
            str(METRICS_PORT),
        ]
        env = {**os.environ, "KNAPWEEDDRUM_BOOT": str(self._settings)}
        self._is_stopping = False
        self._is_killed = False
        self._signals = []
        process = await anyio.open_process(
            command,
            env=env,
            stdout=log,  # type: ignore[arg-type]
            stderr=log,  # type: ignore[arg-type]
        )
        self._process = process
        try:
            await process.wait()
        finally:
            _signal_if_running(process, signal.SIGKILL)
            with anyio.CancelScope(shield=True):
                await process.wait()
        now = time.monotonic()
        for event in self._signals:
            event.ended_at = now
        if not (self._is_stopping or self._is_killed):
            self._history.own_ends.append(HostEvent(self.place.name, now, now))

    def _log_path(self) -> pathlib.Path:
        self._starts += 1
        return self._folder / f"{self.place.name}.{self._starts}.log"


def free_network(hosts: int) -> str:
    """Return the first three numbers of loopback addresses that nobody uses."""
    rng = random.SystemRandom()
    while True:
        network = f"127.{rng.randint(16, 250)}.{rng.randint(1, 250)}"
        with contextlib.ExitStack() as stack, contextlib.suppress(OSError):
            for number in range(1, hosts + 1):
                sock = stack.enter_context(socket.socket())
                sock.bind((f"{network}.{number}", CALLER_PORT))
            return network


def _signal_if_running(process: anyio.abc.Process, number: signal.Signals) -> None:
    if process.returncode is None:
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(number)


def _settings_text(place: HostPlace, shape: SiteShape, store_address: str) -> str:
    zones = [f'"{centre.name}" = "occidente"' for centre in shape.data_centres]
    values: dict[str, object] = {
        "graceS": shape.grace,
        "stableWindowMs": shape.stable_window * 1000,
        "configApplyMs": shape.apply_time * 1000,
        "drainMs": shape.drain_delay * 1000,
        "retryBudgetRatio": 0.2,
        "budgetWindowS": 10,
        "budgetSlack": 54,
        "ttl_max_s": 5,
    }
    return "\n".join(
        (
            f"nodeName = {json.dumps(place.name)}",
            f"internalPorts = [{PEER_PORT}, {PEER_PORT + 15}]",
            f"zone = {json.dumps(place.data_centre)}",
            "bootstrap = true",
            "[zones]",
            *zones,
            "[listen]",
            f'front = "{place.caller_address}"',
            f'readyAddress = "{place.ready_address}"',
            f'directory = "{place.directory_address}"',
            "[limits]",
            "cpuShare = 0.537",
            "cores = 2",
            "memoryMb = 150",
            "[bounds]",
            *(f"{name} = {value}" for name, value in values.items()),
            "[platform]",
            f'address = "{store_address}"',
            "",
        )
    )
