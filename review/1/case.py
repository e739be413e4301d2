"""A late heartbeat of an ended process makes a lender count token returns twice."""

from __future__ import annotations

import asyncio
import hashlib
import pathlib
import sys
import time
import zlib

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent.parent))

from review.standins import client  # noqa: E402
from review.standins.fleet import TROUBLE, CannotRun, Fleet, configuration, run_case  # noqa: E402
from review.standins.server import Server  # noqa: E402

CASE = pathlib.Path(__file__).parent

NAMES = ("front-1", "front-2", "front-3", "front-4")
BORROWER = "front-1"
LENDER = "front-2"
KEY = "key-of-mill"

PREPAID = 600_000
EVENTS = 5
STRIDE = 3
LATE_SECONDS = 5.0
"""The pages: a write without an answer is done 1 to 6 s later."""
LOST_SECONDS = 4.5
LENDER_RESTART_SECONDS = 0.6
"""Time from the restart of one host to that of the other."""

FORGET_SECONDS = 60.0
"""Seconds from the lender's start until the returns are counted anew."""


def tenant() -> str:
    """Return a tenant's name for which LENDER is the first choice of all hosts."""

    def rank(group: int, name: str) -> bytes:
        return hashlib.blake2b(f"{group}|{name}".encode(), digest_size=8).digest()

    for number in range(1000):
        name = f"mill{number}"
        group = zlib.crc32(name.encode()) % 8
        ranked = sorted(NAMES, key=lambda host: rank(group, host))
        if ranked[0] == LENDER:
            return name
    raise CannotRun("no tenant's name fits")


class Consumption:
    """What clients got of the tenant's tokens."""

    def __init__(self) -> None:
        self.tokens = 0
        self.answers = 0
        self.statuses: dict[int, int] = {}

    async def ask(self, address: str, tokens_in: int, most_out: int) -> client.Answer:
        answer = await client.ask(
            address, "POST", "/draft/2f", KEY, 6000, b"question",
            Model="m", Token_Usage=f"{tokens_in},{most_out}",
            Prompt_Prefix=f"{time.monotonic_ns():x}:{tokens_in}",
        )
        self.statuses[answer.status] = self.statuses.get(answer.status, 0) + 1
        if answer.status == 200:
            self.answers += 1
            self.tokens += tokens_in + answer.events * STRIDE
        return answer


async def burst(used: Consumption, address: str, seconds: float) -> None:
    """Send 30 requests a second that may write much and write little."""
    ends = time.monotonic() + seconds
    tasks = []
    while time.monotonic() < ends:
        tasks.append(asyncio.ensure_future(used.ask(address, 100, 1900)))
        await asyncio.sleep(1 / 30)
    await asyncio.gather(*tasks)


async def use_up(used: Consumption, addresses: list[str], seconds: float) -> None:
    """Ask for long prompts until the hosts say that the tokens are used up."""

    async def one(address: str) -> None:
        ends = time.monotonic() + seconds
        refused = 0
        while time.monotonic() < ends and refused < 25:
            answer = await used.ask(address, 4000, 20)
            refused = 0 if answer.status == 200 else refused + 1
            if answer.status != 200:
                await asyncio.sleep(0.1)

    await asyncio.gather(*(one(address) for address in addresses for _ in range(2)))


async def play(fleet: Fleet) -> bool:
    record, store = fleet.record, fleet.store
    organisation = tenant()
    engine = Server(store, "i-engine-1", "engine", events=EVENTS, gap=0.01)
    await engine.start()
    tenants = [{"name": organisation, "apiKeys": [KEY], "priority": 1, "prepaid": PREPAID}]
    store.put("keyed.op", "config", configuration(1, tenants))
    for name in NAMES:
        await fleet.add(name)
    hosts = {host.name: host for host in fleet.hosts}
    borrower, lender = hosts[BORROWER], hosts[LENDER]
    await asyncio.gather(*(host.wait_ready() for host in fleet.hosts))
    await asyncio.sleep(2.0)
    if TROUBLE:
        await lose_heartbeat_and_kill(fleet, borrower, lender)
    lender_started = time.monotonic()
    await asyncio.gather(borrower.wait_ready(), lender.wait_ready())
    await asyncio.sleep(7.0)
    used = Consumption()
    while time.monotonic() < lender_started + FORGET_SECONDS - 14.0:
        await burst(used, borrower.front, 3.0)
        record(f"burst done: {used.tokens} tokens so far, {used.statuses}")
        await asyncio.sleep(9.0)
    await asyncio.sleep(max(0.0, lender_started + FORGET_SECONDS + 2.5 - time.monotonic()))
    await burst(used, borrower.front, 2.0)
    await asyncio.sleep(10.0)
    record(f"bursts over: {used.tokens} tokens so far, {used.statuses}")
    await use_up(used, [host.front for host in fleet.hosts], 22.0)
    returned = sum(int(line["tokens"]) for line in borrower.events("tokens_returned"))
    record(f"the borrower gave back {returned} tokens in all")
    record(f"answers {used.statuses}; engine runs {len(engine.runs)}")
    record(f"tenant {organisation}: prepaid {PREPAID}, got {used.tokens}")
    if used.answers < 50:
        raise CannotRun("hardly any request was served")
    return used.tokens > PREPAID


async def lose_heartbeat_and_kill(fleet: Fleet, borrower, lender) -> None:
    """Kill two of four hosts while one's heartbeat waits at the store."""
    held = asyncio.Event()
    window_ends = time.monotonic() + LOST_SECONDS

    def late(topic: str, records) -> float | None:
        is_heartbeat = topic == "keyed.hosts" and records[0][0] == BORROWER
        if held.is_set() or not is_heartbeat or time.monotonic() > window_ends:
            return None
        held.set()
        fleet.record(f"store: heartbeat of {BORROWER} is done {LATE_SECONDS} s late")
        return LATE_SECONDS

    fleet.store.late = late
    await asyncio.wait_for(held.wait(), LOST_SECONDS)
    await asyncio.gather(borrower.kill(), lender.kill())
    await asyncio.sleep(0.3)
    await borrower.start()
    await asyncio.sleep(LENDER_RESTART_SECONDS)
    await lender.start()


sys.exit(run_case(play, CASE))
