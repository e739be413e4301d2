from __future__ import annotations

import contextlib
import time
from collections.abc import AsyncIterator

import anyio

from tests.async_test import async_test
from tests.process.entry.entry_harness import (
    Answer,
    EntryHarness,
    configuration,
    entry_harness,
)
from tests.standins.stamped_server import Behaviour, StampedServer

INTERVAL_SECONDS = 0.05
JUNK = (b"", b"-1", b"nan", b"inf", b"9" * 20, b"soon", b"1, 2", b"0x10")
DATE = b"Fri, 04 Dec 2026 11:00:00 GMT"


def stock(count: int = 3) -> tuple[StampedServer, ...]:
    """Return plain services."""
    return tuple(StampedServer(f"stock-{n}", body=b"booked") for n in range(count))


async def ask_in_turn(harness: EntryHarness, seconds: float) -> list[Answer]:
    """Send bookings at a steady rate and return the answers."""
    answers: list[Answer] = []
    ends_at = time.monotonic() + seconds
    async with anyio.create_task_group() as tasks:

        async def ask(number: int) -> None:
            answers.append(await harness.call("/read/1", attempt=f"a-{number:x}"))

        number = 0
        while time.monotonic() < ends_at:
            number += 1
            tasks.start_soon(ask, number)
            await anyio.sleep(INTERVAL_SECONDS)
    return answers


def served(answers: list[Answer]) -> float:
    """Return the share of answers that are successes."""
    return sum(answer.status == 200 for answer in answers) / len(answers)


@contextlib.asynccontextmanager
async def fleet(servers: tuple[StampedServer, ...]) -> AsyncIterator[EntryHarness]:
    """Run a host with a route of enough attempts and retries."""
    async with entry_harness(services=servers, document=configuration()) as harness:
        yield harness


@async_test
async def test_endpoint_that_says_it_leaves_gets_no_new_requests():
    """Its entry stays ready all the while."""
    servers = stock()
    async with fleet(servers) as harness:
        await ask_in_turn(harness, 0.5)
        servers[0].leaving = True
        await ask_in_turn(harness, 0.5)
        arrivals = servers[0].arrivals
        answers = await ask_in_turn(harness, 1.5)
        assert served(answers) == 1.0
        assert servers[0].arrivals == arrivals
        (line,) = harness.events("endpoint_notice")
        assert (line["endpoint"], line["notice"]) == ("stock-0", "leaving")


@async_test
async def test_refusal_of_an_endpoint_that_leaves_is_understood_as_well():
    """Each kind of answer says so."""
    servers = stock()
    for server in servers[:2]:
        server.leaving = True
    servers[0].plan = [Behaviour.REFUSE] * 9
    servers[1].plan = [Behaviour.FAIL] * 9
    async with fleet(servers) as harness:
        await ask_in_turn(harness, 1.0)
        before = [server.arrivals for server in servers[:2]]
        answers = await ask_in_turn(harness, 1.0)
        assert served(answers) == 1.0
        assert [server.arrivals for server in servers[:2]] == before


@async_test
async def test_endpoint_that_wants_nothing_for_a_while_gets_nothing():
    """The others serve its callers, and it gets requests again afterwards."""
    servers = stock()
    async with fleet(servers) as harness:
        await ask_in_turn(harness, 0.3)
        servers[0].refuses, servers[0].retry_after = True, (b"1.5",)
        answers = await ask_in_turn(harness, 1.3)
        first = min(t for t in servers[0].arrival_times[-20:])
        refused_at = harness.events("endpoint_notice")[0]
        assert refused_at["seconds"] == 1.5
        servers[0].refuses = False
        late = [t for t in servers[0].arrival_times if t > first + 0.5]
        answers += await ask_in_turn(harness, 2.0)
        assert served(answers) >= 0.98
        assert servers[0].arrivals > len(late)


@async_test
async def test_callers_are_refused_at_once_while_all_endpoints_want_nothing():
    """The Retry-After leads to the time at which one takes requests again."""
    servers = stock()
    for server in servers:
        server.refuses, server.retry_after = True, (b"2",)
    async with fleet(servers) as harness:
        await ask_in_turn(harness, 0.5)
        arrivals = sum(server.arrivals for server in servers)
        answers = await ask_in_turn(harness, 1.0)
        assert {answer.status for answer in answers} == {503}
        assert all(answer.headers.get(b"retry-after") for answer in answers)
        assert sum(server.arrivals for server in servers) == arrivals
        reasons = {line["reason"] for line in harness.events("request_refused")[-9:]}
        assert reasons == {"endpoints_back_off"}


@async_test
async def test_endpoint_that_refuses_everything_does_not_draw_requests():
    """It answers at once, so it always seems the idlest."""
    for retry_after in ((), (b"junk",)):
        servers = stock()
        servers[0].refuses, servers[0].retry_after = True, retry_after
        async with fleet(servers) as harness:
            answers = await ask_in_turn(harness, 3.0)
            assert served(answers) >= 0.98


@async_test
async def test_meaningless_retry_after_has_no_effect_but_a_line():
    """Neither a crash nor an endless pause."""
    for values in (*((junk,) for junk in JUNK), (b"1", b"2"), (DATE,)):
        servers = stock(1)
        servers[0].plan, servers[0].retry_after = [Behaviour.REFUSE], values
        async with fleet(servers) as harness:
            await harness.call("/read/1")
            await anyio.sleep(0.3)
            assert (await harness.call("/read/1")).status == 200, values
            (line,) = harness.events("endpoint_notice")
            assert line["notice"] == "ignored", values
