from __future__ import annotations

import json
import signal
import time

import anyio

from tests.async_test import async_test
from tests.process.entry.entry_bench import (
    EntryBench,
    configuration,
    entry_bench,
    entry_process,
)
from tests.standins.platform_store import PlatformStore
from tests.standins.stamped_server import Behaviour, StampedServer


def prepaid(tokens: int, version: int = 1) -> dict[str, object]:
    tenants = [{"name": "mill", "apiKeys": ["key-of-mill"], "prepaid": tokens}]
    return configuration(version, tenants=tenants)


def claimed(store: PlatformStore) -> int:
    """Return the tokens that all processes have claimed."""
    newest = store.stream("keyed.claims").newest.values()
    return sum(json.loads(value)[0] for _, value in newest)


def free_tokens(store: PlatformStore) -> list[int]:
    """Return the unused tokens of each process that had any at its last claim."""
    newest = [
        json.loads(value) for _, value in store.stream("keyed.claims").newest.values()
    ]
    return [claim[0] - claim[1] for claim in newest if claim[0] > claim[1]]


async def build_up_reserve(bench: EntryBench) -> None:
    """Create demand and wait until the host holds a reserve for it."""
    for number in range(4):
        answer = await bench.call("/draft/1", tokens="3000,10", attempt=f"r{number}")
        assert answer.status == 200
    await anyio.sleep(2.0)


@async_test
async def test_tokens_are_spent_once_and_then_refused():
    """Requests run while the tokens cover their maximum, and get 402 after that."""
    draft = StampedServer("engine-1", events=10)
    async with entry_bench(engines=(draft,), document=prepaid(400)) as bench:
        statuses = [
            (await bench.call("/draft/1", tokens="100,30", attempt=f"a{n}")).status
            for n in range(5)
        ]
        assert statuses == [200, 200, 200, 402, 402]
        assert len(draft.runs) == 3
        assert claimed(bench.store) <= 400
        bench.store.put("keyed.op", "config", prepaid(600, 2))
        await bench.wait_event("config_applied", 2)
        assert (await bench.call("/draft/1", tokens="100,30")).status == 200


@async_test
async def test_unused_output_is_given_back():
    """Tokens that a short answer leaves unused serve the next request."""
    draft = StampedServer("engine-1", events=1)
    async with entry_bench(engines=(draft,), document=prepaid(290)) as bench:
        for number in range(5):
            answer = await bench.call("/draft/1", tokens="40,60", attempt=f"a{number}")
            assert answer.status == 200


@async_test
async def test_claim_whose_reply_is_lost_is_neither_doubled_nor_refused():
    """The process finds its own claim in the log and serves the request."""
    draft = StampedServer("engine-1", events=1)
    store = PlatformStore()
    async with entry_bench(
        engines=(draft,), store=store, document=prepaid(1000)
    ) as bench:
        store.lose_replies = 1
        answer = await bench.call("/draft/1", tokens="400,100")
        assert answer.status == 200
        assert claimed(store) <= 1000


@async_test
async def test_store_outage_refuses_only_what_is_not_held():
    """Held tokens are spent during an outage; larger requests get a retry-after."""
    draft = StampedServer("engine-1", events=1)
    async with entry_bench(engines=(draft,), document=prepaid(100_000)) as bench:
        assert (await bench.call("/draft/1", tokens="400,100")).status == 200
        await anyio.sleep(1.5)
        bench.store.busy = True
        assert (await bench.call("/draft/1", tokens="400,100")).status == 200
        answer = await bench.call("/draft/1", tokens="90000,100")
        assert answer.status == 503
        assert 0 < float(answer.headers.text(b"retry-after")) <= 4 / 3
        bench.store.busy = False
        with anyio.fail_after(5):
            while (await bench.call("/draft/1", tokens="90000,100")).status != 200:
                await anyio.sleep(0.1)


@async_test
async def test_killed_process_leaves_its_claim_and_no_more():
    """A later process treats all tokens that a killed one claimed as spent."""
    draft = StampedServer("engine-1", events=30)
    store = PlatformStore()
    async with entry_bench(
        engines=(draft,), store=store, document=prepaid(1000)
    ) as bench:
        assert (await bench.call("/draft/1", tokens="400,100")).status == 200
        bench.process.kill()
        await bench.process.wait()
    before = claimed(store)
    second = StampedServer("engine-2", events=30)
    async with entry_bench(
        engines=(second,), store=store, document=prepaid(1000, 2), name="host-2"
    ) as bench:
        for number in range(4):
            await bench.call("/draft/1", tokens="100,100", attempt=f"b{number}")
        assert before >= 490
        assert before + 190 * len(second.runs) <= 1000
        assert claimed(store) <= 1000


@async_test
async def test_reservation_of_a_cut_stream_is_charged_for_what_was_made():
    """An interrupted stream costs at least its prompt and the events received."""
    draft = StampedServer("engine-1", events=20)
    draft.plan = [Behaviour.CUT]
    async with entry_bench(engines=(draft,), document=prepaid(1000)) as bench:
        await bench.call("/draft/1", tokens="100,200")
        (line,) = await bench.wait_event("answer_cut")
        assert 130 <= line["tokens_spent"] <= 300


@async_test
async def test_host_that_is_cut_from_the_store_borrows_from_another():
    """During an outage of the store a host serves requests with another's tokens."""
    draft = StampedServer("engine-1", events=1)
    store = PlatformStore()
    async with (
        entry_bench(engines=(draft,), store=store, document=prepaid(100_000)) as rich,
        entry_bench(store=store, document=prepaid(100_000, 2), name="host-2") as poor,
    ):
        await poor.wait_event("hosts_changed")
        await build_up_reserve(rich)
        store.busy = True
        await poor.wait_event("waiting")
        answer = await poor.call("/draft/1", tokens="9000,10", attempt="p1")
        assert answer.status == 200
        (loan,) = await poor.wait_event("tokens_borrowed")
        assert loan["tokens"] >= 9_010 - loan["free"]
        assert claimed(store) <= 100_000


@async_test
async def test_silent_store_and_tokens_spread_over_hosts_cost_little_time():
    """A host borrows from several others what one request needs, within 0.4 s."""
    draft = StampedServer("engine-1", events=1)
    store = PlatformStore()
    document = prepaid(100_000)
    async with (
        entry_bench(engines=(draft,), store=store, document=document) as first,
        entry_bench(store=store, document=prepaid(100_000, 2), name="host-2") as second,
        entry_bench(store=store, document=prepaid(100_000, 3), name="host-3") as poor,
    ):
        await poor.wait_event("config_applied")
        for number in range(4):
            for bench in (first, second):
                name = f"{number}-{bench.caller_address}"
                answer = await bench.call("/draft/1", tokens="3000,10", attempt=name)
                assert answer.status == 200
        await anyio.sleep(2.5)
        held = free_tokens(store)
        assert len(held) >= 2
        store.silent = True
        wanted = max(held) + min(held) // 2
        begun = time.monotonic()
        answer = await poor.call("/draft/1", tokens=f"{wanted - 10},10", attempt="p1")
        assert answer.status == 200
        assert time.monotonic() - begun < 0.4
        assert claimed(store) <= 100_000


@async_test
async def test_host_that_reaches_the_store_claims_for_one_that_does_not():
    """A host without the store gets more than the others hold in reserve."""
    draft = StampedServer("engine-1", events=1)
    store = PlatformStore()
    refusing = PlatformStore()
    refusing.streams = store.streams
    async with (
        refusing.serve() as address,
        entry_bench(engines=(draft,), store=store, document=prepaid(100_000)),
        entry_process(refusing, address, "host-2") as cut,
    ):
        await cut.wait_ready()
        await cut.wait_event("hosts_changed")
        refusing.busy = True
        await cut.wait_event("waiting")
        for number in range(3):
            answer = await cut.call("/draft/1", tokens="30000,10", attempt=f"c{number}")
            assert answer.status == 200
        assert (await cut.call("/draft/1", tokens="30000,10")).status == 503
        assert claimed(store) <= 100_000


@async_test
async def test_tokens_of_a_killed_host_are_freed_by_its_witness():
    """All claimed tokens that the killed process had not unlocked can be spent."""
    draft = StampedServer("engine-1", events=1)
    store = PlatformStore()
    async with (
        entry_bench(store=store, document=prepaid(100_000)) as witness,
        entry_bench(
            engines=(draft,), store=store, document=prepaid(100_000, 2), name="host-2"
        ) as lost,
    ):
        await lost.wait_event("hosts_changed")
        await build_up_reserve(lost)
        before = claimed(store)
        assert before >= 25_000
        lost.process.kill()
        await lost.process.wait()
        async with entry_process(store, lost.store_address, "host-2") as successor:
            await successor.wait_ready()
            (line,) = await witness.wait_event("tokens_freed")
            assert 12_000 <= line["kept"] <= 20_000
            with anyio.fail_after(5):
                while claimed(store) >= before:
                    await anyio.sleep(0.05)
            tokens = f"{100_000 - line['kept'] - 10},10"
            answer = await successor.call("/draft/1", tokens=tokens, attempt="s1")
            assert answer.status == 200


@async_test
async def test_host_without_store_spends_its_reserve_with_consent():
    """During an outage a host spends past its unlocked limit if its witness agrees."""
    draft = StampedServer("engine-1", events=1)
    store = PlatformStore()
    async with (
        entry_bench(store=store, document=prepaid(100_000)),
        entry_bench(
            engines=(draft,), store=store, document=prepaid(100_000, 2), name="host-2"
        ) as cut,
    ):
        await cut.wait_event("hosts_changed")
        await build_up_reserve(cut)
        store.busy = True
        await cut.wait_event("waiting")
        answer = await cut.call("/draft/1", tokens="12000,10", attempt="c1")
        assert answer.status == 200
        assert not cut.events("tokens_borrowed")


@async_test
async def test_witness_that_stops_leaves_the_reserve_to_its_holder():
    """A host can spend its reserve after its witness has shut down."""
    draft = StampedServer("engine-1", events=1)
    store = PlatformStore()
    async with (
        entry_bench(store=store, document=prepaid(100_000)) as witness,
        entry_bench(
            engines=(draft,), store=store, document=prepaid(100_000, 2), name="host-2"
        ) as holder,
    ):
        await holder.wait_event("hosts_changed")
        await build_up_reserve(holder)
        store.busy = True
        await holder.wait_event("waiting")
        witness.send_signal(signal.SIGTERM)
        await witness.process.wait()
        answer = await holder.call("/draft/1", tokens="12000,10", attempt="c1")
        assert answer.status == 200


@async_test
async def test_output_that_is_no_stream_of_events_is_charged_at_its_most():
    """Output that is not an event stream costs the whole reservation."""
    model = StampedServer("engine-1", body=b"an answer in one piece")
    async with entry_bench(engines=(model,), document=prepaid(400)) as bench:
        statuses = [
            (await bench.call("/draft/1", tokens="50,100", attempt=f"a{n}")).status
            for n in range(4)
        ]
        assert statuses == [200, 200, 402, 402]


@async_test
async def test_frozen_host_that_wakes_spends_only_what_it_claimed():
    """Two hosts, one of them suspended for a while, never spend more than was paid."""
    draft = StampedServer("engine-1", events=10)
    store = PlatformStore()
    async with (
        entry_bench(engines=(draft,), store=store, document=prepaid(2_000)) as frozen,
        entry_bench(store=store, document=prepaid(2_000, 2), name="host-2") as other,
    ):
        assert (await frozen.call("/draft/1", tokens="200,30")).status == 200
        frozen.send_signal(signal.SIGSTOP)
        for number in range(12):
            await other.call("/draft/1", tokens="200,30", attempt=f"o{number}")
        frozen.send_signal(signal.SIGCONT)
        for number in range(6):
            await frozen.call("/draft/1", tokens="200,30", attempt=f"f{number}")
        assert 5 <= len(draft.runs) <= 2_000 // 230
        assert claimed(store) <= 2_000
