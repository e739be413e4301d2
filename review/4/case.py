"""A planned stop cuts off requests that the stopping host has just accepted."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent.parent))

from review.standins import client  # noqa: E402
from review.standins.fleet import TROUBLE, CannotRun, Fleet, configuration, run_case  # noqa: E402
from review.standins.server import Server  # noqa: E402

CASE = pathlib.Path(__file__).parent

NAMES = ("front-1", "front-2")
KEY = "key-of-mill"
GAP_SECONDS = 0.05
USUAL_EVENTS = 17
LONG_EVENTS = 69
"""The sheet of the site: events of a review, 17.4 on average and 69.4 at most."""
RATE = 8.0
BEFORE_SECONDS = 6.0
GRACE_SECONDS = 8.0
KEPT_SECONDS = 6.0
"""A client may keep the directory's answer for three times its ttlS of 2 s."""
LONG_AT_SECONDS = (4.6, 4.9, 5.2, 5.5)
"""When long requests are sent, in seconds from the SIGTERM."""


async def ask(address: str, events: int) -> client.Answer:
    return await client.ask(
        address, "POST", "/draft/2f", KEY, 6000, b"%d" % events,
        Model="m", Token_Usage=f"500,{LONG_EVENTS * 3}",
        Prompt_Prefix=f"{time.monotonic_ns():x}:500",
    )


class Load:
    """Usual requests to one host, at a steady rate until stopped."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._tasks: list[asyncio.Task] = []
        self._sender = asyncio.ensure_future(self._send())

    async def _send(self) -> None:
        while True:
            one = asyncio.ensure_future(ask(self._address, USUAL_EVENTS))
            self._tasks.append(one)
            await asyncio.sleep(1 / RATE)

    async def stop(self) -> list[client.Answer]:
        self._sender.cancel()
        return list(await asyncio.gather(*self._tasks))


async def play(fleet: Fleet) -> bool:
    record, store = fleet.record, fleet.store
    engine = Server(store, "i-engine-1", "engine", events=USUAL_EVENTS, gap=GAP_SECONDS)
    await engine.start()
    tenants = [{"name": "mill", "apiKeys": [KEY], "priority": 1, "prepaid": 9_000_000}]
    store.put("keyed.op", "config", configuration(1, tenants))
    for name in NAMES:
        await fleet.add(name)
    await asyncio.gather(*(host.wait_ready() for host in fleet.hosts))
    await asyncio.sleep(4.0)
    loads = [Load(host.front) for host in fleet.hosts]
    await asyncio.sleep(BEFORE_SECONDS)
    stopping = fleet.hosts[0]
    stopped_at = time.monotonic()
    if TROUBLE:
        stopping.signal(signal.SIGTERM)
    killer = asyncio.ensure_future(kill_after_grace(fleet, stopping))
    long_requests = []
    for seconds in LONG_AT_SECONDS:
        await asyncio.sleep(max(0.0, stopped_at + seconds - time.monotonic()))
        record(f"a long request is sent to {stopping.name}, {seconds} s from the stop")
        long_requests.append(asyncio.ensure_future(ask(stopping.front, LONG_EVENTS)))
    await asyncio.sleep(max(0.0, stopped_at + KEPT_SECONDS - time.monotonic()))
    usual = await loads[0].stop()
    answers = await asyncio.gather(*long_requests)
    usual += await loads[1].stop()
    await killer
    ran = {run.attempt for run in engine.runs}
    cut = [a for a in [*answers, *usual] if a.attempt in ran and not a.whole]
    for answer in answers:
        record(f"long {answer.attempt}: status {answer.status}, {answer.events} of "
               f"{LONG_EVENTS} events, {'whole' if answer.whole else 'cut off'}")
    statuses: dict[int, int] = {}
    for answer in usual:
        statuses[answer.status] = statuses.get(answer.status, 0) + 1
    record(f"usual requests by status: {statuses}")
    record(f"requests that were passed on and cut off: {len(cut)}")
    if not statuses.get(200):
        raise CannotRun("no usual request was served")
    return len(cut) > 0


async def kill_after_grace(fleet: Fleet, host) -> None:
    """Send SIGKILL after graceS if the process has not ended by then."""
    if not TROUBLE:
        return
    try:
        await asyncio.wait_for(host.process.wait(), GRACE_SECONDS)
        fleet.record(f"host {host.name}: ended, code {host.process.returncode}")
    except TimeoutError:
        await host.kill()


sys.exit(run_case(play, CASE))
