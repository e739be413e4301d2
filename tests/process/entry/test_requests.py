from __future__ import annotations

import anyio

from tests.async_test import async_test
from tests.process.entry.entry_harness import KEY, configuration, entry_harness
from tests.standins.stamped_server import Behaviour, StampedServer


def engine(name: str = "engine-1", events: int = 4) -> StampedServer:
    return StampedServer(name, events=events)


def service(name: str = "stock-1") -> StampedServer:
    return StampedServer(name, body=b"booked")


@async_test
async def test_each_kind_of_route_is_served():
    """Streaming, unsafe and safe requests get the server's answer and stamp."""
    draft, stock = engine(), service()
    async with entry_harness(engines=(draft,), services=(stock,)) as harness:
        answer = await harness.call("/draft/1", tokens="35,30", attempt="a-1")
        assert (answer.status, answer.is_complete) == (200, True)
        assert answer.body.count(b"data:") == 4
        assert answer.headers.text(b"response-stamp") == "stamp-engine-1"
        for path, method in (("/book/1?x=1", b"POST"), ("/read/1", b"GET")):
            answer = await harness.call(path, method=method, body=b"")
            assert (answer.status, answer.body) == (200, b"booked")
            assert answer.headers.text(b"response-stamp") == "stamp-stock-1"
        assert stock.targets == [b"/book/1?x=1", b"/read/1"]


@async_test
async def test_headers_are_forwarded_removed_or_replaced():
    """The API key is removed; tenant, instance and deadline are set by the fleet."""
    draft = engine()
    async with entry_harness(engines=(draft,)) as harness:
        forged = (
            (b"Tenant", b"another"),
            (b"Hold", b"x"),
            (b"Kv-From", b"y"),
            (b"Connection", b"X-Private"),
            (b"X-Private", b"1"),
            (b"X-Public", b"2"),
        )
        await harness.call("/draft/1", tokens="35,30", extra=forged, body=b"b" * 99)
        (run,) = draft.runs
        assert run.text(b"tenant") == "mill"
        assert run.text(b"expect-instance") == "engine-1"
        assert run.text(b"attempt-id") == "attempt-1"
        assert run.text(b"prompt-prefix") == "aa:10,bb:20,cc:5"
        assert run.text(b"x-public") == "2"
        assert 0 < int(run.text(b"deadline-ms")) <= 3000
        for name in (b"authorization", b"hold", b"kv-from", b"x-private"):
            assert run.get(name) is None
        assert draft.bodies == [b"b" * 99]


@async_test
async def test_inadmissible_requests_get_a_client_error():
    """Statuses 400, 401, 404, 413 and 431 are returned without asking a server."""
    stock = service()
    async with entry_harness(services=(stock,)) as harness:
        assert (await harness.call("/book/1", key="wrong")).status == 401
        assert (await harness.call("/book/1", key=None)).status == 401
        assert (await harness.call("/nowhere/1")).status == 404
        assert (await harness.call("/book/1", body=b"x" * 100_001)).status == 413
        long = ((b"X-Long", b"x" * 5000),)
        assert (await harness.call("/book/1", extra=long)).status == 431
        assert (await harness.call("/book/1", time_left_ms=-1)).status == 400
        assert stock.arrivals == 0


@async_test
async def test_unsafe_request_is_sent_once_and_fails_without_retry_after():
    """A reset, a cut, a bare 503 or an unstamped answer gives 502, no retry-after."""
    first, second = service(), service("stock-2")
    async with entry_harness(services=(first, second)) as harness:
        for behaviour in (
            Behaviour.RESET,
            Behaviour.CUT,
            Behaviour.SILENT_REFUSAL,
            Behaviour.UNSTAMPED,
        ):
            first.plan = [behaviour]
            second.plan = [behaviour]
            before = len(first.runs) + len(second.runs)
            answer = await harness.call("/book/1")
            assert answer.status == 502
            assert answer.headers.get(b"retry-after") is None
            assert len(first.runs) + len(second.runs) == before + 1


@async_test
async def test_unsafe_request_that_a_server_refused_gets_a_retry_after():
    """The retry-after is at most a third of the time left."""
    stock = service()
    stock.plan = [Behaviour.REFUSE]
    async with entry_harness(services=(stock,)) as harness:
        answer = await harness.call("/book/1", time_left_ms=900)
        assert answer.status in (429, 503)
        assert 0 < float(answer.headers.text(b"retry-after")) <= 0.3
        assert stock.runs == []


@async_test
async def test_safe_request_is_retried_at_another_server():
    """A safe request goes to a second server after a failure of any kind."""
    first, second = service(), service("stock-2")
    async with entry_harness(services=(first, second)) as harness:
        for behaviour in (Behaviour.RESET, Behaviour.CUT, Behaviour.FAIL):
            first.plan, second.plan = [behaviour], []
            answer = await harness.call("/read/1", method=b"GET", body=b"")
            assert (answer.status, answer.body) == (200, b"booked")
            first.plan, second.plan = [], []


@async_test
async def test_late_answer_to_another_request_is_skipped():
    """An extra answer on the connection is never given to the caller."""
    stock = service()
    stock.plan = [Behaviour.LATE_EXTRA]
    async with entry_harness(services=(stock,)) as harness:
        answer = await harness.call("/book/1")
        assert (answer.status, answer.body) == (200, b"booked")


@async_test
async def test_interrupted_stream_is_resumed_at_another_server():
    """The caller gets each event exactly once, also when the stream is resumed."""
    servers = (engine("engine-1", 8), engine("engine-2", 8))
    for server in servers:
        server.plan = [Behaviour.CUT]
    async with entry_harness(engines=servers) as harness:
        for server in servers:
            server.plan = [Behaviour.CUT] if server is servers[0] else []
        answers = [
            await harness.call("/query/1", tokens="35,60", prefix=f"s{number}:1,x:1")
            for number in range(6)
        ]
        assert any(len(server.runs) > 0 for server in servers)
        for answer in answers:
            assert (answer.status, answer.is_complete) == (200, True)
            ids = [
                int(line[3:]) for line in answer.body.split(b"\n") if line[:3] == b"id:"
            ]
            assert ids == list(range(1, 9))
        resumed = [run for run in servers[1].runs if run.get(b"last-event-id")]
        assert [run.text(b"last-event-id") for run in resumed] in ([], ["4"])


@async_test
async def test_stream_that_may_not_be_resumed_does_not_look_complete():
    """The connection is aborted after the last complete event."""
    draft = engine(events=6)
    draft.plan = [Behaviour.CUT]
    async with entry_harness(engines=(draft,)) as harness:
        answer = await harness.call("/draft/1", tokens="35,60")
        assert answer.status == 200
        assert not answer.is_complete
        assert answer.body.endswith(b"piece 3\n\n")
        assert len(draft.runs) == 1
        (line,) = await harness.wait_for_event("answer_cut")
        assert line["request"] == "attempt-1"


@async_test
async def test_disconnect_of_the_caller_cancels_its_request():
    """The server sees its connection close within half a second."""
    draft = engine()
    draft.plan = [Behaviour.HANG]
    async with entry_harness(engines=(draft,)) as harness:
        with anyio.move_on_after(0.3):
            await harness.call("/draft/1", tokens="35,30")
        with anyio.fail_after(0.5):
            while not draft.cancelled:
                await anyio.sleep(0.01)
        assert await harness.wait_for_event("request_abandoned")


@async_test
async def test_unresponsive_server_gives_504_at_the_deadline():
    """A request that may have run and got no answer in time is answered 504."""
    stock = service()
    stock.plan = [Behaviour.HANG]
    async with entry_harness(services=(stock,)) as harness:
        started = anyio.current_time()
        answer = await harness.call("/book/1", time_left_ms=400)
        assert answer.status == 504
        assert 0.3 < anyio.current_time() - started < 1.0


@async_test
async def test_server_at_a_reused_address_does_not_run_the_request():
    """A request for the earlier server at an address gets 503 and is not run."""
    stock = service()
    stock.plan = [Behaviour.MOVED]
    async with entry_harness(services=(stock,)) as harness:
        answer = await harness.call("/book/1")
        assert answer.status == 503
        assert stock.runs == []


@async_test
async def test_connections_to_servers_are_reused():
    """Requests of one caller share connections to the server."""
    stock = service()
    async with entry_harness(services=(stock,)) as harness:
        for _ in range(5):
            assert (await harness.call("/book/1")).status == 200
        assert stock.connections == 1


@async_test
async def test_newer_configuration_replaces_the_keys():
    """A newer configuration replaces the keys; older or invalid ones are ignored."""
    stock = service()
    async with entry_harness(services=(stock,)) as harness:
        tenants = [{"name": "mill", "apiKeys": ["new"], "prepaid": 10}]
        harness.store.put("keyed.op", "config", configuration(5, tenants=tenants))
        await harness.wait_for_event("config_applied", 2)
        assert (await harness.call("/book/1", key=KEY)).status == 401
        assert (await harness.call("/book/1", key="new")).status == 200
        harness.store.put("keyed.op", "config", configuration(4))
        harness.store.put("keyed.op", "config", {"version": 9, "routes": 3})
        await harness.wait_for_event("config_rejected")
        assert (await harness.call("/book/1", key="new")).status == 200
