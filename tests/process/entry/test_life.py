from __future__ import annotations

import contextlib
import json
import signal

import anyio

from knapweeddrum.http.exceptions import NoReplyError, NotSentError
from tests.async_test import async_test
from tests.process.entry.entry_bench import (
    Answer,
    configuration,
    entry_bench,
    entry_process,
)
from tests.standins.platform_store import PlatformStore
from tests.standins.stamped_server import StampedServer


def service() -> StampedServer:
    return StampedServer("stock-1", body=b"booked")


@async_test
async def test_not_ready_before_the_first_configuration():
    """Readiness is 503 without a configuration and 200 once there is one."""
    store = PlatformStore()
    async with (
        store.serve() as address,
        entry_process(store, address, "host-1") as bench,
    ):
        with anyio.fail_after(10):
            await bench.wait_event("process_started")
            await anyio.sleep(0.3)
        assert (await bench.get(bench.ready_address, "/-/ready")).status == 503
        answer = await bench.call("/book/1")
        assert answer.status == 503
        assert float(answer.headers.text(b"retry-after")) > 0
        store.put("keyed.op", "config", configuration())
        await bench.wait_ready()


@async_test
async def test_directory_names_ready_hosts_only():
    """Hosts find each other through the store; one that drains is left out."""
    store = PlatformStore()
    async with (
        entry_bench(services=(service(),), store=store) as first,
        entry_bench(store=store, document=configuration(2), name="host-2") as second,
    ):
        path = "/-/resolve?name=desk.example&region=r&zone=zone-a"
        both = {first.caller_address, second.caller_address}
        with anyio.fail_after(10):
            while True:
                answer = await first.get(first.directory_address, path)
                reply = json.loads(answer.body)
                if set(reply["addresses"]) == both:
                    break
                await anyio.sleep(0.1)
        assert 0 < reply["ttlS"] <= 5
        second.send_signal(signal.SIGTERM)
        with anyio.fail_after(4):
            while len(json.loads(answer.body)["addresses"]) > 1:
                await anyio.sleep(0.1)
                answer = await first.get(first.directory_address, path)


@async_test
async def test_stop_ends_what_was_read_and_hands_tokens_back():
    """After SIGTERM the host is not ready, open streams complete, tokens return."""
    draft = StampedServer("engine-1", events=10)
    draft.event_gap = 0.15
    async with entry_bench(engines=(draft,)) as bench:
        answers = []

        async def call() -> None:
            answers.append(await bench.call("/draft/1", tokens="100,30"))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call)
            await anyio.sleep(0.4)
            bench.send_signal(signal.SIGTERM)
            await bench.wait_event("drain_started")
            assert (await bench.get(bench.ready_address, "/-/ready")).status == 503
            late = await bench.call("/draft/1", tokens="100,30", attempt="late")
            assert (late.status, late.whole) == (200, True)
        assert [answer.whole for answer in answers] == [True]
        with anyio.fail_after(6):
            assert await bench.process.wait() == 0
        newest = bench.store.stream("keyed.claims").newest
        (claim,) = [json.loads(value) for _, value in newest.values()]
        assert claim == [260, 260, 260, ""]


@async_test
async def test_stop_begins_nothing_that_its_end_would_cut():
    """Late in a drain, requests with long answers get 503 and a short retry-after."""
    draft = StampedServer("engine-1", events=10)
    draft.event_gap = 0.2
    answers: list[Answer] = []
    async with entry_bench(engines=(draft,)) as bench:
        assert (await bench.call("/draft/1", tokens="10,9")).whole
        bench.send_signal(signal.SIGTERM)
        await bench.wait_event("drain_started")

        async def call(name: str) -> None:
            with contextlib.suppress(NotSentError, NoReplyError):
                answers.append(
                    await bench.call("/draft/1", tokens="10,9", attempt=name)
                )

        async with anyio.create_task_group() as tasks:
            for number in range(18):
                tasks.start_soon(call, f"a{number}")
                await anyio.sleep(0.3)
    assert all(answer.whole for answer in answers)
    refused = [answer for answer in answers if answer.status == 503]
    assert refused
    assert all(float(a.headers.text(b"retry-after")) < 0.1 for a in refused)
    assert len(draft.runs) - 1 == len(answers) - len(refused)


@async_test
async def test_metrics_show_counters_and_latencies():
    """The metrics page has refusals by reason, durations and ages."""
    async with entry_bench(services=(service(),)) as bench:
        await bench.call("/book/1")
        await bench.call("/nowhere/")
        text = (await bench.get(bench.metrics_address, "/metrics")).body.decode()
        assert 'knapweed_events_total{name="refusal.unknown_route"} 1.0' in text
        assert 'knapweed_duration_seconds_count{name="answer.unsafe"} 1.0' in text
        assert "knapweed_config_version 1.0" in text


@async_test
async def test_changed_settings_are_read_again():
    """SIGHUP reloads the file; an invalid file is rejected and changes nothing."""
    async with entry_bench(services=(service(),)) as bench:
        text = bench.settings_path.read_text()
        bench.settings_path.write_text(text.replace("graceS = 6", "graceS = 7"))
        bench.send_signal(signal.SIGHUP)
        assert (await bench.wait_event("settings_reloaded"))[0]["changed"]
        bench.settings_path.write_text(text.replace("graceS = 6", "graceS = -1"))
        bench.send_signal(signal.SIGHUP)
        (line,) = await bench.wait_event("settings_rejected")
        assert "graceS" in str(line["error"])
        assert (await bench.call("/book/1")).status == 200


@async_test
async def test_leaving_server_gets_nothing_new():
    """A server that drains, or that is no longer listed, gets no more requests."""
    leaving, staying = service(), StampedServer("stock-2", body=b"booked")
    async with entry_bench(services=(leaving, staying)) as bench:
        entry = leaving.entry("stock", state="draining")
        bench.store.put("keyed.servers", "stock-1", entry)
        bench.store.put("keyed.servers", "garbage", {"state": "odd"})
        await bench.wait_event("endpoint_listed", 3)
        assert await bench.wait_event("entry_ignored")
        for _ in range(4):
            assert (await bench.call("/book/1")).status == 200
        assert leaving.arrivals == 0
        bench.store.drop("keyed.servers", "stock-2")
        await bench.wait_event("endpoint_unlisted")
        assert (await bench.call("/book/1")).status == 503


@async_test
async def test_history_that_the_store_forgot_is_listed_anew():
    """After a compaction the service list and the configuration are listed again."""
    stock = service()
    async with entry_bench(services=(stock,)) as bench:
        bench.store.put("keyed.op", "config", configuration(3))
        bench.store.put("keyed.op", "config", configuration(4))
        for stream in bench.store.streams.values():
            stream.forget()
        with anyio.fail_after(5):
            while bench.events("config_applied")[-1]["version"] != 4:
                await anyio.sleep(0.05)
        assert (await bench.call("/book/1")).status == 200
