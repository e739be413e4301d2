from __future__ import annotations

import contextlib
import datetime
import json
import signal
import time

import anyio

from knapweeddrum.core.catalog.service_list import MIN_WRITES_OF_SERVED_ENDPOINT
from knapweeddrum.http.exceptions import NoReplyError, NotSentError
from knapweeddrum.platform.streams import SERVICE_LIST_STREAM
from knapweeddrum.process.entry.heartbeat_task import HEARTBEAT_INTERVAL_SECONDS
from tests.async_test import async_test
from tests.process.entry.entry_harness import (
    Answer,
    EntryHarness,
    configuration,
    entry_harness,
    entry_process,
)
from tests.standins.platform_store import PlatformStore
from tests.standins.stamped_server import StampedServer

MAX_CALLS_PER_SECOND = 40
"""Calls to a store that refuses them; 4 streams are read and heartbeats written."""


DRAIN_DELAY_SECONDS = 2.0
"""Time for which a leaving endpoint still takes requests, by default."""


def service() -> StampedServer:
    return StampedServer("stock-1", body=b"booked")


async def _wait_for_service_list(
    harness: EntryHarness, event: str
) -> dict[str, object]:
    """Return the line that says that the service list is out of reach, or back."""
    while True:
        for line in harness.events(event):
            if line["dependency"] == SERVICE_LIST_STREAM:
                return line
        await anyio.sleep(0.02)


def _logged_at(line: dict[str, object]) -> datetime.datetime:
    return datetime.datetime.fromisoformat(str(line["timestamp"]))


def _says_ready(store: PlatformStore) -> bool:
    """Return what the last heartbeat of the host says."""
    _, heartbeat = store.stream("keyed.hosts").newest["host-1"]
    return json.loads(heartbeat)["ready"]


@async_test
async def test_process_is_not_ready_before_the_first_configuration():
    """Readiness is 503 without a configuration and 200 once there is one."""
    store = PlatformStore()
    async with (
        store.serve() as address,
        entry_process(store, address, "host-1") as harness,
    ):
        with anyio.fail_after(10):
            await harness.wait_for_event("process_started")
            await anyio.sleep(0.3)
        assert (await harness.get(harness.ready_address, "/-/ready")).status == 503
        answer = await harness.call("/book/1")
        assert answer.status == 503
        assert float(answer.headers.text(b"retry-after")) > 0
        store.put("keyed.op", "config", configuration())
        await harness.wait_until_ready()


@async_test
async def test_directory_lists_only_ready_hosts():
    """Hosts find each other through the store; one that drains is left out."""
    store = PlatformStore()
    async with (
        entry_harness(services=(service(),), store=store) as first,
        entry_harness(store=store, document=configuration(2), name="host-2") as second,
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
async def test_other_hosts_are_told_at_once_of_a_drain():
    """The heartbeat that says so does not wait for the next regular one."""
    store = PlatformStore()
    async with entry_harness(store=store) as harness:
        with anyio.fail_after(5):
            while not _says_ready(store):
                await anyio.sleep(0.02)
        harness.send_signal(signal.SIGTERM)
        with anyio.fail_after(HEARTBEAT_INTERVAL_SECONDS / 2):
            while _says_ready(store):
                await anyio.sleep(0.02)


@async_test
async def test_refused_heartbeat_of_a_drain_is_not_repeated_without_a_pause():
    """A store that refuses all calls gets few of them from a host that drains."""
    store = PlatformStore()
    async with entry_harness(store=store) as harness:
        await anyio.sleep(HEARTBEAT_INTERVAL_SECONDS)
        store.busy = True
        harness.send_signal(signal.SIGTERM)
        await anyio.sleep(0.5)
        calls_before = store.calls
        await anyio.sleep(1.0)
        calls = store.calls - calls_before
        assert calls <= MAX_CALLS_PER_SECOND, calls


@async_test
async def test_drain_completes_open_streams_and_returns_tokens():
    """After SIGTERM the host is not ready, open streams complete, tokens return."""
    draft = StampedServer("engine-1", events=10)
    draft.event_gap = 0.15
    async with entry_harness(engines=(draft,)) as harness:
        answers = []

        async def call() -> None:
            answers.append(await harness.call("/draft/1", tokens="100,30"))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call)
            await anyio.sleep(0.4)
            harness.send_signal(signal.SIGTERM)
            await harness.wait_for_event("drain_started")
            assert (await harness.get(harness.ready_address, "/-/ready")).status == 503
            late = await harness.call("/draft/1", tokens="100,30", attempt="late")
            assert (late.status, late.is_complete) == (200, True)
        assert [answer.is_complete for answer in answers] == [True]
        with anyio.fail_after(6):
            assert await harness.process.wait() == 0
        newest = harness.store.stream("keyed.claims").newest
        (claim,) = [json.loads(value) for _, value in newest.values()]
        # Claimed, committed and unlocked tokens, and no witness.
        assert claim == [260, 260, 260, ""]


@async_test
async def test_drain_refuses_requests_that_may_outlast_it():
    """Late in a drain, requests with long answers get 503 and a short retry-after."""
    draft = StampedServer("engine-1", events=10)
    draft.event_gap = 0.2
    answers: list[Answer] = []
    async with entry_harness(engines=(draft,)) as harness:
        assert (await harness.call("/draft/1", tokens="10,9")).is_complete
        harness.send_signal(signal.SIGTERM)
        await harness.wait_for_event("drain_started")

        async def call(name: str) -> None:
            with contextlib.suppress(NotSentError, NoReplyError):
                answers.append(
                    await harness.call("/draft/1", tokens="10,9", attempt=name)
                )

        async with anyio.create_task_group() as tasks:
            for number in range(18):
                tasks.start_soon(call, f"a{number}")
                await anyio.sleep(0.3)
    assert all(answer.is_complete for answer in answers)
    refused = [answer for answer in answers if answer.status == 503]
    assert refused
    assert all(float(a.headers.text(b"retry-after")) < 0.1 for a in refused)
    assert len(draft.runs) - 1 == len(answers) - len(refused)


@async_test
async def test_metrics_show_counters_and_latencies():
    """The metrics page has refusals by reason, durations and ages."""
    async with entry_harness(services=(service(),)) as harness:
        await harness.call("/book/1")
        await harness.call("/nowhere/")
        text = (await harness.get(harness.metrics_address, "/metrics")).body.decode()
        assert 'knapweed_events_total{name="refusal.unknown_route"} 1.0' in text
        assert 'knapweed_duration_seconds_count{name="answer.unsafe"} 1.0' in text
        assert "knapweed_config_version 1.0" in text


@async_test
async def test_changed_settings_are_reloaded():
    """SIGHUP reloads the file; an invalid file is rejected and changes nothing."""
    async with entry_harness(services=(service(),)) as harness:
        text = harness.settings_path.read_text()
        harness.settings_path.write_text(text.replace("graceS = 6", "graceS = 7"))
        harness.send_signal(signal.SIGHUP)
        assert (await harness.wait_for_event("settings_reloaded"))[0]["changed"]
        harness.settings_path.write_text(text.replace("graceS = 6", "graceS = -1"))
        harness.send_signal(signal.SIGHUP)
        (line,) = await harness.wait_for_event("settings_rejected")
        assert "graceS" in str(line["error"])
        assert (await harness.call("/book/1")).status == 200


@async_test
async def test_leaving_server_gets_no_new_requests():
    """A server that drains, or that is no longer listed, gets no more requests."""
    leaving, staying = service(), StampedServer("stock-2", body=b"booked")
    async with entry_harness(services=(leaving, staying)) as harness:
        entry = leaving.entry("stock", state="draining")
        harness.store.put("keyed.servers", "stock-1", entry)
        harness.store.put("keyed.servers", "garbage", {"state": "odd"})
        await harness.wait_for_event("endpoint_listed", 3)
        assert await harness.wait_for_event("entry_ignored")
        for _ in range(4):
            assert (await harness.call("/book/1")).status == 200
        assert leaving.arrivals == 0
        harness.store.drop("keyed.servers", "stock-2")
        await harness.wait_for_event("endpoint_unlisted")
        assert (await harness.call("/book/1")).status == 503


@async_test
async def test_leaving_that_a_cut_host_learns_late_counts_at_once():
    """The other endpoint wrote meanwhile, so the store was only out of reach here."""
    leaving, staying = service(), StampedServer("stock-2", body=b"booked")
    async with entry_harness(services=(leaving, staying)) as harness:
        harness.store.busy = True
        await _wait_for_service_list(harness, "waiting")
        harness.store.drop("keyed.servers", "stock-1")
        for _ in range(MIN_WRITES_OF_SERVED_ENDPOINT):
            harness.store.put("keyed.servers", "stock-2", staying.entry("stock"))
        harness.store.busy = False
        await harness.wait_for_event("endpoint_unlisted")
        ready = await _wait_for_service_list(harness, "dependency_ready")
        unlisted_at = _logged_at(harness.events("endpoint_unlisted")[0])
        assert unlisted_at - _logged_at(ready) < datetime.timedelta(seconds=0.2)
        for number in range(4):
            answer = await harness.call("/book/1", attempt=f"b{number}")
            assert answer.status == 200
        assert leaving.arrivals == 0


@async_test
async def test_entry_that_lapsed_gets_no_requests_after_the_drain_delay():
    """An entry that is gone after an outage may be of an endpoint that leaves."""
    leaving = service()
    async with entry_harness(services=(leaving,)) as harness:
        harness.store.busy = True
        await _wait_for_service_list(harness, "waiting")
        harness.store.drop("keyed.servers", "stock-1")
        harness.store.busy = False
        await _wait_for_service_list(harness, "dependency_ready")
        read_at = time.monotonic()
        assert (await harness.call("/book/1")).status == 200
        last_arrival_at = read_at
        for number in range(60):
            asked_at = time.monotonic()
            if (await harness.call("/book/1", attempt=f"b{number}")).status == 200:
                last_arrival_at = asked_at
            await anyio.sleep(0.05)
        assert last_arrival_at - read_at < DRAIN_DELAY_SECONDS


@async_test
async def test_compacted_streams_are_listed_again():
    """After a compaction the service list and the configuration are listed again."""
    stock = service()
    async with entry_harness(services=(stock,)) as harness:
        harness.store.put("keyed.op", "config", configuration(3))
        harness.store.put("keyed.op", "config", configuration(4))
        for stream in harness.store.streams.values():
            stream.expire_records()
        with anyio.fail_after(5):
            while harness.events("config_applied")[-1]["version"] != 4:
                await anyio.sleep(0.05)
        assert (await harness.call("/book/1")).status == 200
