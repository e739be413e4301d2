"""An entry of another writer that can't be read ends all hosts, again and again."""

from __future__ import annotations

import asyncio
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent.parent))

from review.standins import client  # noqa: E402
from review.standins.fleet import TROUBLE, CannotRun, Fleet, configuration, run_case  # noqa: E402
from review.standins.server import Server  # noqa: E402

CASE = pathlib.Path(__file__).parent

NAMES = ("front-1", "front-2", "front-3")
KEY = "key-of-mill"
DEPTH = 1200
"""Lists within each other in the entry's field ``version``."""
ALLOWED_LOSSES = 3
"""The rule: more than three times; counted for each host by itself."""
BOOKINGS_SECONDS = 9.0
SILENCE_SECONDS = 3.6
"""Three status report intervals, after which the store removes a silent entry."""
CHANNELS = 8
"""Kept channels to each host."""


class Bookings:
    """Bookings on kept channels, one after the other on each."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.answers: list[client.Answer] = []
        self.unanswered_on_kept: dict[str, list[client.Answer]] = {}
        self.stop_at = float("inf")

    async def send(self, address: str) -> None:
        channel = client.Channel(address)
        served = 0
        while time.monotonic() < self.stop_at:
            answer = await channel.send(
                "POST", "/book/2f", KEY, 1500, b"one ton", Model="m"
            )
            kept = served > 0
            served = served + 1 if channel.is_open else 0
            self.answers.append(answer)
            if kept and not answer.status:
                self.unanswered_on_kept.setdefault(address, []).append(answer)
            if not answer.status:
                await asyncio.sleep(0.2)
        channel.close()


async def play(fleet: Fleet) -> bool:
    record, store = fleet.record, fleet.store
    servers = [Server(store, f"i-stock-{n}", "stock", work=0.045) for n in (1, 2)]
    for server in servers:
        await server.start()
    tenants = [{"name": "mill", "apiKeys": [KEY], "priority": 1, "prepaid": 1_000_000}]
    store.put("keyed.op", "config", configuration(1, tenants))
    for name in NAMES:
        await fleet.add(name)
    await asyncio.gather(*(host.wait_ready() for host in fleet.hosts))
    await asyncio.sleep(4.0)
    bookings = Bookings(fleet)
    tasks = [
        asyncio.ensure_future(bookings.send(host.front))
        for host in fleet.hosts
        for _ in range(CHANNELS)
    ]
    ends: dict[str, int] = {}
    watch = asyncio.ensure_future(restart_hosts(fleet, ends))
    await asyncio.sleep(2.0)
    served_before = sum(answer.status == 200 for answer in bookings.answers)
    written_at = len(bookings.answers)
    if TROUBLE:
        store.put("keyed.servers", "other-writer", unreadable_entry(servers[0]))
        record("store: an entry of another writer, version of another type")
    await asyncio.sleep(SILENCE_SECONDS)
    if TROUBLE:
        store.put("keyed.servers", "other-writer", b"")
        record("store: the entry is removed after three intervals of silence")
    await asyncio.sleep(BOOKINGS_SECONDS - 2.0 - SILENCE_SECONDS)
    bookings.stop_at = 0.0
    await asyncio.gather(*tasks)
    watch.cancel()
    ran = {run.attempt for server in servers for run in server.runs}
    after = bookings.answers[written_at:]
    lost = {
        host.name: [
            answer.attempt
            for answer in bookings.unanswered_on_kept.get(host.front, [])
            if answer.attempt in ran
        ]
        for host in fleet.hosts
    }
    for name, attempts in lost.items():
        record(f"{name}: on kept channels, run by a server, no answer: {attempts}")
    record(f"bookings served before the entry {served_before}, after it "
           f"{sum(a.status == 200 for a in after)} of {len(after)}")
    record(f"ends of hosts by themselves: {ends}")
    counts = {name: len(attempts) for name, attempts in lost.items()}
    record(f"bookings that a server ran and nobody answered, by host: {counts}")
    if not served_before:
        raise CannotRun("no booking was served")
    return max(counts.values()) > ALLOWED_LOSSES


def unreadable_entry(server: Server) -> bytes:
    entry = json.dumps({
        "service": "stock", "address": server.address, "zone": "zone-a", "slots": 6,
        "state": "ready", "coldRemainingMs": 0, "seq": 1, "version": "VERSION",
    })
    return entry.replace('"VERSION"', "[" * DEPTH + "]" * DEPTH).encode()


async def restart_hosts(fleet: Fleet, ends: dict[str, int]) -> None:
    """Start hosts that ended by themselves again, as the platform does."""

    async def watch(host) -> None:
        while True:
            code = await host.process.wait()
            ends[host.name] = ends.get(host.name, 0) + 1
            fleet.record(f"host {host.name}: ended by itself, code {code}")
            await asyncio.sleep(0.5)
            await host.start()

    await asyncio.gather(*(watch(host) for host in fleet.hosts))


sys.exit(run_case(play, CASE))
