from __future__ import annotations

import contextlib
import json
import signal
import time

import anyio

from knapweeddrum.process.entry.host_state_page import STATE_PATH
from tests.async_test import async_test
from tests.process.entry.entry_harness import (
    EntryHarness,
    configuration,
    entry_harness,
    entry_process,
)
from tests.standins.platform_store import PlatformStore
from tests.standins.stamped_server import Behaviour, StampedServer

OWNER_NAME = "host-2"
"""Host that claims the organisation's tokens, if it runs."""
OTHER_NAMES = ("host-1", "host-3")
RECOVERY_SECONDS = 6.0
"""Time after a start in which hosts that failed are found out; half of the bound."""


def prepaid_configuration(tokens: int, version: int = 1) -> dict[str, object]:
    tenants = [{"name": "mill", "apiKeys": ["key-of-mill"], "prepaid": tokens}]
    return configuration(version, tenants=tenants)


def claimed_tokens(store: PlatformStore) -> int:
    """Return the tokens that all processes have claimed."""
    newest = store.stream("keyed.claims").newest.values()
    return sum(json.loads(value)[0] for _, value in newest)


async def free_tokens(harness: EntryHarness) -> int:
    """Return the tokens that a host has neither spent nor reserved nor lent."""
    answer = await harness.get(harness.metrics_address, STATE_PATH.decode())
    (budget,) = json.loads(answer.body)["budgets"]
    return budget["free_here"] + budget["unopened_here"]


async def build_up_reserve(harness: EntryHarness) -> None:
    """Create demand and wait until the host holds a reserve for it."""
    for number in range(4):
        answer = await harness.call("/draft/1", tokens="3000,10", attempt=f"r{number}")
        assert answer.status == 200
    await anyio.sleep(2.0)


@async_test
async def test_requests_are_refused_once_prepaid_tokens_are_spent():
    """Requests run while the tokens cover their maximum, and get 402 after that."""
    draft = StampedServer("engine-1", events=10)
    async with entry_harness(
        engines=(draft,), document=prepaid_configuration(400)
    ) as harness:
        statuses = [
            (await harness.call("/draft/1", tokens="100,30", attempt=f"a{n}")).status
            for n in range(5)
        ]
        assert statuses == [200, 200, 200, 402, 402]
        assert len(draft.runs) == 3
        assert claimed_tokens(harness.store) <= 400
        harness.store.put("keyed.op", "config", prepaid_configuration(600, 2))
        await harness.wait_for_event("config_applied", 2)
        assert (await harness.call("/draft/1", tokens="100,30")).status == 200


@async_test
async def test_unused_output_tokens_are_freed():
    """Tokens that a short answer leaves unused serve the next request."""
    draft = StampedServer("engine-1", events=1)
    async with entry_harness(
        engines=(draft,), document=prepaid_configuration(290)
    ) as harness:
        for number in range(5):
            answer = await harness.call(
                "/draft/1", tokens="40,60", attempt=f"a{number}"
            )
            assert answer.status == 200


@async_test
async def test_claim_whose_reply_is_lost_is_not_repeated():
    """The process finds its own claim in the log and serves the request."""
    draft = StampedServer("engine-1", events=1)
    store = PlatformStore()
    async with entry_harness(
        engines=(draft,), store=store, document=prepaid_configuration(1000)
    ) as harness:
        store.lose_replies = 1
        answer = await harness.call("/draft/1", tokens="400,100")
        assert answer.status == 200
        assert claimed_tokens(store) <= 1000


@async_test
async def test_store_outage_refuses_only_requests_beyond_held_tokens():
    """Held tokens are spent during an outage; larger requests get a retry-after."""
    draft = StampedServer("engine-1", events=1)
    async with entry_harness(
        engines=(draft,), document=prepaid_configuration(100_000)
    ) as harness:
        assert (await harness.call("/draft/1", tokens="400,100")).status == 200
        await anyio.sleep(1.5)
        harness.store.busy = True
        assert (await harness.call("/draft/1", tokens="400,100")).status == 200
        answer = await harness.call("/draft/1", tokens="90000,100")
        assert answer.status == 503
        assert 0 < float(answer.headers.text(b"retry-after")) <= 4 / 3
        harness.store.busy = False
        with anyio.fail_after(5):
            while (await harness.call("/draft/1", tokens="90000,100")).status != 200:
                await anyio.sleep(0.1)


@async_test
async def test_claim_of_a_killed_process_counts_as_spent():
    """A later process treats all tokens that a killed one claimed as spent."""
    draft = StampedServer("engine-1", events=30)
    store = PlatformStore()
    async with entry_harness(
        engines=(draft,), store=store, document=prepaid_configuration(1000)
    ) as harness:
        assert (await harness.call("/draft/1", tokens="400,100")).status == 200
        harness.process.kill()
        await harness.process.wait()
    before = claimed_tokens(store)
    second = StampedServer("engine-2", events=30)
    async with entry_harness(
        engines=(second,),
        store=store,
        document=prepaid_configuration(1000, 2),
        name="host-2",
    ) as harness:
        for number in range(4):
            await harness.call("/draft/1", tokens="100,100", attempt=f"b{number}")
        assert before >= 490
        assert before + 190 * len(second.runs) <= 1000
        assert claimed_tokens(store) <= 1000


@async_test
async def test_interrupted_stream_is_charged_for_generated_tokens():
    """An interrupted stream costs at least its prompt and the events received."""
    draft = StampedServer("engine-1", events=20)
    draft.plan = [Behaviour.CUT]
    async with entry_harness(
        engines=(draft,), document=prepaid_configuration(1000)
    ) as harness:
        await harness.call("/draft/1", tokens="100,200")
        (line,) = await harness.wait_for_event("answer_cut")
        assert 130 <= line["tokens_spent"] <= 300


@async_test
async def test_host_without_store_borrows_from_another():
    """During an outage of the store a host serves requests with another's tokens."""
    draft = StampedServer("engine-1", events=1)
    store = PlatformStore()
    async with (
        entry_harness(
            engines=(draft,),
            store=store,
            document=prepaid_configuration(100_000),
            name=OWNER_NAME,
        ) as lender,
        entry_harness(
            store=store, document=prepaid_configuration(100_000, 2), name=OTHER_NAMES[0]
        ) as borrower,
    ):
        await borrower.wait_for_event("hosts_changed")
        await build_up_reserve(lender)
        store.busy = True
        await borrower.wait_for_event("waiting")
        answer = await borrower.call("/draft/1", tokens="9000,10", attempt="p1")
        assert answer.status == 200
        (loan,) = await borrower.wait_for_event("tokens_borrowed")
        assert loan["tokens"] >= 9_010 - loan["free"]
        assert claimed_tokens(store) <= 100_000


@async_test
async def test_borrowing_from_several_hosts_is_fast_while_the_store_hangs():
    """A host borrows from several others what one request needs, within 0.4 s."""
    draft = StampedServer("engine-1", events=1)
    store = PlatformStore()
    document = prepaid_configuration(100_000)
    async with (
        entry_harness(
            engines=(draft,), store=store, document=document, name=OWNER_NAME
        ) as first,
        entry_harness(
            store=store, document=prepaid_configuration(100_000, 2), name=OTHER_NAMES[0]
        ) as second,
        entry_harness(
            store=store, document=prepaid_configuration(100_000, 3), name=OTHER_NAMES[1]
        ) as borrower,
    ):
        for harness in (first, second, borrower):
            await harness.wait_until_others_are_ready(2)
        for number in range(4):
            for harness in (first, second):
                name = f"{number}-{harness.caller_address}"
                answer = await harness.call("/draft/1", tokens="3000,10", attempt=name)
                assert answer.status == 200
        await anyio.sleep(2.5)
        held = [await free_tokens(harness) for harness in (first, second)]
        assert min(held) > 0
        store.unresponsive = True
        wanted = max(held) + min(held) // 2
        begun = time.monotonic()
        answer = await borrower.call(
            "/draft/1", tokens=f"{wanted - 10},10", attempt="p1"
        )
        assert answer.status == 200
        assert time.monotonic() - begun < 0.4
        assert claimed_tokens(store) <= 100_000


@async_test
async def test_host_with_store_claims_for_one_without():
    """A host without the store gets more than the others hold in reserve."""
    draft = StampedServer("engine-1", events=1)
    store = PlatformStore()
    refusing = PlatformStore()
    refusing.streams = store.streams
    async with (
        refusing.serve() as address,
        entry_harness(
            engines=(draft,), store=store, document=prepaid_configuration(100_000)
        ),
        entry_process(refusing, address, "host-2") as cut_off,
    ):
        await cut_off.wait_until_ready()
        await cut_off.wait_for_event("hosts_changed")
        refusing.busy = True
        await cut_off.wait_for_event("waiting")
        for number in range(3):
            answer = await cut_off.call(
                "/draft/1", tokens="30000,10", attempt=f"c{number}"
            )
            assert answer.status == 200
        assert (await cut_off.call("/draft/1", tokens="30000,10")).status == 503
        assert claimed_tokens(store) <= 100_000


@async_test
async def test_locked_tokens_of_a_killed_host_are_released_by_its_witness():
    """All claimed tokens that the killed process had not unlocked can be spent."""
    draft = StampedServer("engine-1", events=1)
    store = PlatformStore()
    async with (
        entry_harness(store=store, document=prepaid_configuration(100_000)) as witness,
        entry_harness(
            engines=(draft,),
            store=store,
            document=prepaid_configuration(100_000, 2),
            name="host-2",
        ) as killed,
    ):
        await killed.wait_for_event("hosts_changed")
        await build_up_reserve(killed)
        before = claimed_tokens(store)
        assert before >= 25_000
        killed.process.kill()
        await killed.process.wait()
        async with entry_process(store, killed.store_address, "host-2") as successor:
            await successor.wait_until_ready()
            (line,) = await witness.wait_for_event("tokens_freed")
            assert 12_000 <= line["kept"] <= 20_000
            with anyio.fail_after(5):
                while claimed_tokens(store) >= before:
                    await anyio.sleep(0.05)
            tokens = f"{100_000 - line['kept'] - 10},10"
            answer = await successor.call("/draft/1", tokens=tokens, attempt="s1")
            assert answer.status == 200


@async_test
async def test_host_without_store_spends_locked_tokens_with_consent():
    """During an outage a host spends past its unlocked limit if its witness agrees."""
    draft = StampedServer("engine-1", events=1)
    store = PlatformStore()
    async with (
        entry_harness(store=store, document=prepaid_configuration(100_000)),
        entry_harness(
            engines=(draft,),
            store=store,
            document=prepaid_configuration(100_000, 2),
            name="host-2",
        ) as cut_off,
    ):
        await cut_off.wait_for_event("hosts_changed")
        await build_up_reserve(cut_off)
        store.busy = True
        await cut_off.wait_for_event("waiting")
        answer = await cut_off.call("/draft/1", tokens="12000,10", attempt="c1")
        assert answer.status == 200
        assert not cut_off.events("tokens_borrowed")


@async_test
async def test_holder_can_spend_its_reserve_after_its_witness_stops():
    """A host needs no consent to spend its tokens once its witness has shut down."""
    draft = StampedServer("engine-1", events=1)
    store = PlatformStore()
    async with (
        entry_harness(store=store, document=prepaid_configuration(100_000)) as witness,
        entry_harness(
            engines=(draft,),
            store=store,
            document=prepaid_configuration(100_000, 2),
            name="host-2",
        ) as holder,
    ):
        await holder.wait_for_event("hosts_changed")
        await build_up_reserve(holder)
        store.busy = True
        await holder.wait_for_event("waiting")
        witness.send_signal(signal.SIGTERM)
        await witness.process.wait()
        answer = await holder.call("/draft/1", tokens="12000,10", attempt="c1")
        assert answer.status == 200


@async_test
async def test_output_without_events_is_charged_the_whole_reservation():
    """Tokens that can't be counted are charged in full, so that none is spent twice."""
    model = StampedServer("engine-1", body=b"an answer in one piece")
    async with entry_harness(
        engines=(model,), document=prepaid_configuration(400)
    ) as harness:
        statuses = [
            (await harness.call("/draft/1", tokens="50,100", attempt=f"a{n}")).status
            for n in range(4)
        ]
        assert statuses == [200, 200, 402, 402]


@async_test
async def test_suspended_host_that_resumes_spends_only_what_it_claimed():
    """Two hosts, one of them suspended for a while, never spend more than was paid."""
    draft = StampedServer("engine-1", events=10)
    store = PlatformStore()
    async with (
        entry_harness(
            engines=(draft,), store=store, document=prepaid_configuration(2_000)
        ) as suspended,
        entry_harness(
            store=store, document=prepaid_configuration(2_000, 2), name="host-2"
        ) as other,
    ):
        assert (await suspended.call("/draft/1", tokens="200,30")).status == 200
        suspended.send_signal(signal.SIGSTOP)
        for number in range(12):
            await other.call("/draft/1", tokens="200,30", attempt=f"o{number}")
        suspended.send_signal(signal.SIGCONT)
        for number in range(6):
            await suspended.call("/draft/1", tokens="200,30", attempt=f"f{number}")
        assert 5 <= len(draft.runs) <= 2_000 // 230
        assert claimed_tokens(store) <= 2_000


@async_test
async def test_tokens_of_a_killed_fleet_come_back():
    """Holder and witness die together; what neither can have spent is served again."""
    draft = StampedServer("engine-1", events=1)
    store = PlatformStore()
    prepaid = 200_000
    async with contextlib.AsyncExitStack() as stack:
        first = await stack.enter_async_context(
            entry_harness(
                engines=(draft,), store=store, document=prepaid_configuration(prepaid)
            )
        )
        second = await stack.enter_async_context(
            entry_process(store, first.store_address, OWNER_NAME)
        )
        await second.wait_until_ready()
        await first.wait_until_others_are_ready(1)
        spent = await _spend_steadily((first, second), requests=40, gap=0.1)
        held = claimed_tokens(store) - spent
        for harness in (first, second):
            harness.process.kill()
            await harness.process.wait()
        left = prepaid - spent
        assert held > left / 4
        third = await stack.enter_async_context(
            entry_process(store, first.store_address, "host-1")
        )
        await stack.enter_async_context(
            entry_process(store, first.store_address, OWNER_NAME)
        )
        await third.wait_until_ready()
        await anyio.sleep(RECOVERY_SECONDS)
        served = await _spend_all(third)
        assert spent + served <= prepaid
        assert served > left - held / 2


async def _spend_steadily(
    hosts: tuple[EntryHarness, ...], requests: int, gap: float
) -> int:
    """Send requests to the hosts in turn; return the tokens spent."""
    for number in range(requests):
        answer = await hosts[number % len(hosts)].call(
            "/draft/1", tokens="1000,3", attempt=f"steady-{number}"
        )
        assert answer.status == 200
        await anyio.sleep(gap)
    return requests * 1_003


async def _spend_all(host: EntryHarness) -> int:
    """Send requests until the budget is exhausted; return the tokens spent."""
    for number in range(300):
        answer = await host.call("/draft/1", tokens="1000,3", attempt=f"all-{number}")
        if answer.status == 402:
            return number * 1_003
        assert answer.status == 200, answer
    raise AssertionError("the budget has no end")
