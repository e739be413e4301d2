from __future__ import annotations

import json
import time

import anyio
import anyio.to_thread

from knapweeddrum.console.exit_code import ExitCode
from knapweeddrum.core.admission.crash_evidence import SIGN_OF_LIFE_SECONDS
from knapweeddrum.process.entry.crash_detector import PROBE_INTERVAL_SECONDS
from tests.async_test import async_test
from tests.console.test_client_commands import run
from tests.process.entry.crash_fleet import CrashFleet, SentRequest, crash_fleet
from tests.process.entry.entry_harness import (
    STABLE_WINDOW_MS,
    Answer,
    EntryHarness,
    entry_harness,
    entry_process,
)
from tests.standins.stamped_server import Behaviour, StampedServer

WINDOW_SECONDS = STABLE_WINDOW_MS / 1000
MAX_LATE_CRASHES = 3
"""Crashes later than the window after the third that the users' rules allow."""
FOUND_SECONDS = WINDOW_SECONDS / 4
"""Time from a crash until its host has found it, so that all know it in the window."""


async def blame(fleet: CrashFleet) -> None:
    """Send copies until three endpoints have crashed and the hosts had time to tell."""
    while len(fleet.service.crash_times) < 3:
        await fleet.send_in_turn("/read/2", b"fatal", 1, 0.4)
    await anyio.sleep(WINDOW_SECONDS)


def reason(answer: Answer | None) -> str:
    assert answer is not None
    return str(json.loads(answer.body)["reason"])


@async_test
async def test_request_that_crashes_endpoints_is_stopped_after_the_third_crash():
    """Copies of it at three hosts reach few endpoints once three have crashed."""
    ordinary: list[SentRequest] = []
    async with crash_fleet(3, 8) as fleet, anyio.create_task_group() as tasks:
        tasks.start_soon(fleet.send_different, "/read/1", 0.03, ordinary)
        copies = await fleet.send_in_turn("/read/2", b"fatal", 40, 0.4)
        tasks.cancel_scope.cancel()
        crashes = len(fleet.service.crash_times)
        late = fleet.service.late_crashes(WINDOW_SECONDS)
    refused = sum(1 for request in ordinary if request.status != 200)
    statuses = sorted({request.status for request in copies})
    print(f"crashes {crashes}, late {late}, statuses {statuses}")
    print(f"ordinary requests without an answer: {refused} of {len(ordinary)}")
    assert late <= MAX_LATE_CRASHES, (crashes, late)


@async_test
async def test_request_under_which_endpoints_fall_silent_is_stopped():
    """Endpoints that end without closing their connections count as well."""
    async with crash_fleet(3, 16, silent=True) as fleet:
        async with anyio.create_task_group() as tasks:
            for number in range(30):
                host = fleet.hosts[number % 3]
                tasks.start_soon(fleet.send, host, "/read/2", b"fatal")
                await anyio.sleep(0.4)
        crashes = len(fleet.service.crash_times)
        print(f"crashes {crashes}, late {fleet.service.late_crashes(WINDOW_SECONDS)}")
        assert fleet.service.late_crashes(WINDOW_SECONDS) <= MAX_LATE_CRASHES, crashes


@async_test
async def test_crashing_request_is_stopped_while_the_store_is_out():
    """Hosts tell each other of crashes when the store doesn't take their records."""
    async with crash_fleet(3, 8) as fleet:
        for host in fleet.hosts:
            await host.wait_until_others_are_ready(2)
        fleet.store.busy = True
        await fleet.send_in_turn("/read/2", b"fatal", 24, 0.4)
        crashes = len(fleet.service.crash_times)
        assert fleet.service.late_crashes(WINDOW_SECONDS) <= MAX_LATE_CRASHES, crashes
        sent = [await fleet.send(host, "/read/2", b"fatal") for host in fleet.hosts]
        assert {reason(request.answer) for request in sent} == {"quarantined"}


@async_test
async def test_crashing_request_is_known_at_a_host_that_has_just_started():
    """A host that becomes ready refuses what the others have found out."""
    async with crash_fleet(2, 8) as fleet:
        await blame(fleet)
        crashes = len(fleet.service.crash_times)
        started = entry_process(fleet.store, fleet.store_address, "host-9")
        async with started as host:
            await host.wait_until_ready()
            sent = await fleet.send(host, "/read/2", b"fatal")
        assert reason(sent.answer) == "quarantined"
        assert len(fleet.service.crash_times) == crashes


@async_test
async def test_copies_sent_at_one_moment_to_all_hosts_stop_crashing_endpoints():
    """Copies under way before the crashes are known are not followed by others."""
    async with crash_fleet(3, 8) as fleet:
        for _ in range(12):
            async with anyio.create_task_group() as tasks:
                for host in fleet.hosts:
                    tasks.start_soon(fleet.send, host, "/read/2", b"fatal")
            await anyio.sleep(0.6)
        crashes = len(fleet.service.crash_times)
        assert fleet.service.late_crashes(WINDOW_SECONDS) <= MAX_LATE_CRASHES, crashes


@async_test
async def test_blamed_request_is_refused_at_once_and_truthfully():
    """The answer is final, promises that nothing ran, and is for this request only."""
    async with crash_fleet(2, 8) as fleet:
        await blame(fleet)
        first = fleet.hosts[0]
        logged = len(first.events("request_refused"))
        started_at = time.monotonic()
        sent = await fleet.send(first, "/read/2", b"fatal")
        assert time.monotonic() - started_at < 0.5
        assert sent.answer is not None
        assert (sent.status, reason(sent.answer)) == (503, "quarantined")
        assert json.loads(sent.answer.body)["run_state"] == "not_run"
        assert sent.answer.headers.get(b"retry-after") is None
        line = (await first.wait_for_event("request_refused", logged + 1))[-1]
        assert line["reason"] == "quarantined"
        assert b"fatal" not in json.dumps(first.lines).encode()
        metrics = await first.get(first.metrics_address, "/metrics")
        assert b"refusal.quarantined" in metrics.body
        for path, body in (("/read/3", b"fatal?"), ("/read/2", b"other")):
            assert (await fleet.send(first, path, body)).status == 200


@async_test
async def test_request_under_suspicion_is_not_sent_to_a_third_endpoint():
    """One copy reaches two endpoints at most, the next one a single endpoint."""
    async with crash_fleet(1, 8) as fleet:
        await fleet.send(fleet.hosts[0], "/read/2", b"fatal")
        assert len(fleet.service.crash_times) == 2
        await anyio.sleep(1.0)
        await fleet.send(fleet.hosts[0], "/read/2", b"fatal")
        assert len(fleet.service.crash_times) == 3


@async_test
async def test_suspect_is_tried_alone_and_cleared_by_a_whole_answer():
    """A second copy is told when to come back; one answer clears the record for all."""
    stock = StampedServer("stock-1")
    stock.plan = [Behaviour.HANG, Behaviour.HANG]
    async with entry_harness(services=(stock,)) as harness:
        await harness.call("/book/1", attempt="first", time_left_ms=300)
        (line,) = await harness.wait_for_event("request_sent")
        fingerprint = str(line["fingerprint"])
        marks = [{"endpoint": f"gone-{n}", "at": time.time()} for n in range(2)]
        record = {"fingerprint": fingerprint, "marks": marks, "cleared_at": 0.0}
        harness.store.put("keyed.crashes", fingerprint, record)
        await harness.wait_for_event("crashes_counted")
        async with anyio.create_task_group() as tasks:

            async def try_alone() -> None:
                await harness.call("/book/1", attempt="alone", time_left_ms=1000)

            tasks.start_soon(try_alone)
            await harness.wait_for_event("request_sent", 2)
            again = await harness.call("/book/1", attempt="beside", time_left_ms=900)
        assert (again.status, reason(again)) == (503, "suspected")
        assert 0 < float(again.headers.text(b"retry-after")) <= 0.3
        assert (await harness.call("/book/1", attempt="whole")).status == 200
        with anyio.fail_after(5):
            while json.loads(stored(harness, fingerprint))["marks"]:
                await anyio.sleep(0.05)


@async_test
async def test_operator_sees_and_clears_a_blamed_request():
    """After the order it runs again, at the other host too."""
    async with crash_fleet(2, 8) as fleet:
        await blame(fleet)
        crashes = len(fleet.service.crash_times)
        url = f"http://{fleet.hosts[0].metrics_address}"
        shown = await anyio.to_thread.run_sync(
            run, "--output", "json", "host-state", url
        )
        (row,) = (row for row in json.loads(shown.out)["crashes"] if row["blamed"])
        ran = await anyio.to_thread.run_sync(
            run, "clear-crashes", url, row["fingerprint"]
        )
        assert ran.code == ExitCode.OK
        assert "yes" in ran.out
        await anyio.sleep(2.0)
        await fleet.send(fleet.hosts[1], "/read/2", b"fatal")
        assert len(fleet.service.crash_times) > crashes


@async_test
async def test_endpoint_that_crashes_by_itself_blames_no_request():
    """Requests that ran beside a crash, and come again, are answered."""
    sent: list[SentRequest] = []
    crashed: set[str] = set()
    async with crash_fleet(2, 4) as fleet:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(fleet.send_different, "/read/1", 0.01, sent)
            for position in (0, 1, 2):
                await anyio.sleep(0.7)
                crashed.add(await fleet.crash_beside_requests(position))
                again = await fleet.send(fleet.hosts[0], "/read/1", b"popular")
                assert again.status == 200
            await anyio.sleep(1.0)
            tasks.cancel_scope.cancel()
        for host in fleet.hosts:
            with anyio.fail_after(WINDOW_SECONDS):
                ended = await host.wait_for_event("endpoint_ended", len(crashed))
            assert {line["endpoint"] for line in ended} == crashed
            assert not refusals(host)


@async_test
async def test_reset_connections_and_lost_answers_blame_no_request():
    """A request whose connections are reset by endpoints that go on is sent again."""
    first, second = StampedServer("stock-1"), StampedServer("stock-2")
    async with entry_harness(services=(first, second)) as harness:
        for number in range(8):
            first.plan, second.plan = [Behaviour.RESET], [Behaviour.RESET]
            answer = await harness.call("/read/1", attempt=f"r{number}")
            assert answer.status == 502
            await anyio.sleep(0.1)
        first.plan, second.plan = [], []
        with anyio.fail_after(10):
            while (await harness.call("/read/1", attempt="last")).status != 200:
                await anyio.sleep(0.3)
        assert not harness.events("endpoint_ended")
        assert not refusals(harness)


@async_test
async def test_crash_soon_after_an_unexplained_loss_is_found_in_time():
    """A loss at an endpoint that is examined already is examined as well."""
    async with crash_fleet(1, 1) as fleet:
        host = fleet.hosts[0]
        fleet.service.endpoints[0].plan = [Behaviour.HANG]
        await host.call("/book/1", attempt="hung", time_left_ms=900)
        await host.wait_for_event("endpoint_examined")
        await anyio.sleep(2 * PROBE_INTERVAL_SECONDS)
        await fleet.send(host, "/book/2", b"fatal")
        with anyio.fail_after(FOUND_SECONDS):
            (ended,) = await host.wait_for_event("endpoint_ended")
        assert ended["sign"] == "refused"


@async_test
async def test_answer_of_a_successor_does_not_hide_a_crash():
    """A 421 from a later start at the address is no sign of life of the earlier one."""
    stock = StampedServer("stock-1")
    stock.checks_instance = True
    stock.plan = [Behaviour.RESET]
    async with entry_harness(services=(stock,)) as harness:
        assert (await harness.call("/book/1", attempt="lost")).status == 502
        (line,) = await harness.wait_for_event("request_sent")
        stock.server_id = "stock-2"
        await anyio.sleep(SIGN_OF_LIFE_SECONDS)
        assert (await harness.call("/book/2", attempt="moved")).status == 503
        await anyio.sleep(2 * PROBE_INTERVAL_SECONDS)
        successor = stock.entry("stock", born=1_700_000_000_001)
        harness.store.put("keyed.servers", "stock-2", successor)
        with anyio.fail_after(WINDOW_SECONDS):
            (ended,) = await harness.wait_for_event("endpoint_ended")
        assert ended["endpoint"] == "stock-1"
        assert ended["fingerprints"] == [line["fingerprint"]]


@async_test
async def test_endpoint_that_leaves_as_planned_blames_no_request():
    """Connections that end with a leaving endpoint are no sign of a crash."""
    async with crash_fleet(1, 3) as fleet, anyio.create_task_group() as tasks:
        host = fleet.hosts[0]
        endpoints = list(fleet.service.endpoints)
        for endpoint in endpoints:
            endpoint.plan = [Behaviour.HANG]
        for number in range(len(endpoints)):
            tasks.start_soon(fleet.send, host, "/read/1", b"open %d" % number)
        await host.wait_for_event("request_sent", len(endpoints))
        leaving = [endpoint for endpoint in endpoints if endpoint.runs][:2]
        for endpoint in leaving:
            entry = endpoint.entry("stock", state="draining")
            fleet.store.put("keyed.servers", endpoint.server_id, entry)
        await host.wait_for_event("endpoint_listed", len(endpoints) + len(leaving))
        for endpoint in leaving:
            endpoint.crash()
        await host.wait_for_event("attempt_failed")
        await anyio.sleep(1.0)
        assert not host.events("endpoint_ended")
        tasks.cancel_scope.cancel()


def refusals(host: EntryHarness) -> list[dict[str, object]]:
    """Return the refusals for crashes of endpoints."""
    return [
        line
        for line in host.events("request_refused")
        if line["reason"] in {"suspected", "quarantined"}
    ]


def stored(host: EntryHarness, fingerprint: str) -> bytes:
    """Return the newest crash record of a request in the store."""
    return host.store.stream("keyed.crashes").newest[fingerprint][1]
