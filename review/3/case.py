"""After a kill of all hosts a tenant's unspent tokens stay out of reach."""

from __future__ import annotations

import asyncio
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

TOKENS_IN = 1000
EVENTS = 6
STRIDE = 3
MOST_OUT = EVENTS * STRIDE
MOST = TOKENS_IN + MOST_OUT

RATE_BEFORE = 20.0
RATE_AFTER = 10.0
SECONDS_BEFORE = 12.0
DOWN_SECONDS = 1.0
RECOVERY_SECONDS = 12.0
"""The bound recoveryS of the small sites."""
SECONDS_AFTER = 22.0
PREPAID = 520_000
OWED_PART = 0.97


class Sent:
    """A request, when it was sent, and its answer."""

    def __init__(self, at: float, answer: client.Answer) -> None:
        self.at = at
        self.answer = answer


async def send_steadily(fleet: Fleet, sent: list[Sent], rate: float, seconds: float) -> None:
    """Send to the hosts in turn; a client asks once more after a refusal."""

    async def one(number: int) -> None:
        at = time.monotonic()
        for attempt in range(2):
            host = fleet.hosts[(number + attempt) % len(fleet.hosts)]
            answer = await client.ask(
                host.front, "POST", "/draft/2f", KEY, 6000, b"question",
                Model="m", Token_Usage=f"{TOKENS_IN},{MOST_OUT}",
                Prompt_Prefix=f"{time.monotonic_ns():x}:{TOKENS_IN}",
            )
            if answer.status not in (429, 503):
                break
            wait = float(answer.headers.get("retry-after", "0"))
            await asyncio.sleep(min(wait, 2.0))
        sent.append(Sent(at, answer))

    tasks = []
    ends = time.monotonic() + seconds
    number = 0
    while time.monotonic() < ends:
        tasks.append(asyncio.ensure_future(one(number)))
        number += 1
        await asyncio.sleep(1 / rate)
    await asyncio.gather(*tasks)


def tokens(sent: list[Sent]) -> int:
    return sum(
        TOKENS_IN + s.answer.events * STRIDE for s in sent if s.answer.status == 200
    )


async def play(fleet: Fleet) -> bool:
    record, store = fleet.record, fleet.store
    engines = [
        Server(store, f"i-engine-{n}", "engine", events=EVENTS, gap=0.02) for n in (1, 2)
    ]
    for engine in engines:
        await engine.start()
    tenants = [{"name": "mill", "apiKeys": [KEY], "priority": 1, "prepaid": PREPAID}]
    store.put("keyed.op", "config", configuration(1, tenants))
    for name in NAMES:
        await fleet.add(name, f"zone-{name[-1]}")
    await asyncio.gather(*(host.wait_ready() for host in fleet.hosts))
    await asyncio.sleep(4.0)
    before: list[Sent] = []
    await send_steadily(fleet, before, RATE_BEFORE, SECONDS_BEFORE)
    served = sum(s.answer.status == 200 for s in before)
    record(f"before: {served} of {len(before)} served, {tokens(before)} tokens")
    if TROUBLE:
        await asyncio.gather(*(host.kill() for host in fleet.hosts))
        await asyncio.sleep(DOWN_SECONDS)
        await asyncio.gather(*(host.start() for host in fleet.hosts))
    back_at = time.monotonic()
    after: list[Sent] = []
    await send_steadily(fleet, after, RATE_AFTER, SECONDS_AFTER)
    late = [s for s in after if s.at > back_at + RECOVERY_SECONDS]
    late_served = sum(s.answer.status == 200 for s in late)
    statuses: dict[int, int] = {}
    for s in late:
        statuses[s.answer.status] = statuses.get(s.answer.status, 0) + 1
    asked = (len(before) + len(after)) * MOST
    consumed = tokens(before) + tokens(after)
    record(f"after: {sum(s.answer.status == 200 for s in after)} of {len(after)} served")
    record(f"later than recoveryS: {late_served} of {len(late)} served, {statuses}")
    record(f"prepaid {PREPAID}; all requests together ask for {asked} at their most")
    record(f"consumed {consumed}; left of the prepaid tokens {PREPAID - consumed}")
    if served < len(before) / 4 or asked > PREPAID * OWED_PART:
        raise CannotRun("too little was served before, or too much was asked for")
    return late_served < len(late) / 4


sys.exit(run_case(play, CASE))
