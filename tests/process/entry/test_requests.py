from __future__ import annotations

import anyio

from tests.async_test import async_test
from tests.process.entry.entry_bench import KEY, configuration, entry_bench
from tests.standins.stamped_server import Behaviour, StampedServer


def engine(name: str = "engine-1", events: int = 4) -> StampedServer:
    return StampedServer(name, events=events)


def service(name: str = "stock-1") -> StampedServer:
    return StampedServer(name, body=b"booked")


@async_test
async def test_each_kind_of_route_is_served():
    """Streaming, unsafe and safe requests get the server's answer and stamp."""
    draft, stock = engine(), service()
    async with entry_bench(engines=(draft,), services=(stock,)) as bench:
        answer = await bench.call("/draft/1", tokens="35,30", attempt="a-1")
        assert (answer.status, answer.whole) == (200, True)
        assert answer.body.count(b"data:") == 4
        assert answer.headers.text(b"response-stamp") == "stamp-engine-1"
        for path, method in (("/book/1?x=1", b"POST"), ("/read/1", b"GET")):
            answer = await bench.call(path, method=method, body=b"")
            assert (answer.status, answer.body) == (200, b"booked")
            assert answer.headers.text(b"response-stamp") == "stamp-stock-1"
        assert stock.targets == [b"/book/1?x=1", b"/read/1"]


@async_test
async def test_headers_are_passed_on_or_replaced():
    """The API key is removed; tenant, instance and deadline are set by the fleet."""
    draft = engine()
    async with entry_bench(engines=(draft,)) as bench:
        forged = (
            (b"Tenant", b"another"),
            (b"Hold", b"x"),
            (b"Kv-From", b"y"),
            (b"Connection", b"X-Private"),
            (b"X-Private", b"1"),
            (b"X-Public", b"2"),
        )
        await bench.call("/draft/1", tokens="35,30", extra=forged, body=b"b" * 99)
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
async def test_requests_that_are_not_allowed_get_a_final_status():
    """401, 404, 413 and 431 come at once and reach no server."""
    stock = service()
    async with entry_bench(services=(stock,)) as bench:
        assert (await bench.call("/book/1", key="wrong")).status == 401
        assert (await bench.call("/book/1", key=None)).status == 401
        assert (await bench.call("/nowhere/1")).status == 404
        assert (await bench.call("/book/1", body=b"x" * 100_001)).status == 413
        long = ((b"X-Long", b"x" * 5000),)
        assert (await bench.call("/book/1", extra=long)).status == 431
        assert (await bench.call("/book/1", time_left_ms=-1)).status == 400
        assert stock.arrivals == 0


@async_test
async def test_booking_is_sent_once_and_its_failure_promises_nothing():
    """A reset, a cut, a bare 503 or an unstamped answer gives 502, no retry-after."""
    first, second = service(), service("stock-2")
    async with entry_bench(services=(first, second)) as bench:
        for behaviour in (
            Behaviour.RESET,
            Behaviour.CUT,
            Behaviour.SILENT_REFUSAL,
            Behaviour.UNSTAMPED,
        ):
            first.plan = [behaviour]
            second.plan = [behaviour]
            before = len(first.runs) + len(second.runs)
            answer = await bench.call("/book/1")
            assert answer.status == 502
            assert answer.headers.get(b"retry-after") is None
            assert len(first.runs) + len(second.runs) == before + 1


@async_test
async def test_booking_that_a_server_refused_is_told_to_come_back():
    """The retry-after is at most a third of the time left."""
    stock = service()
    stock.plan = [Behaviour.REFUSE]
    async with entry_bench(services=(stock,)) as bench:
        answer = await bench.call("/book/1", time_left_ms=900)
        assert answer.status in (429, 503)
        assert 0 < float(answer.headers.text(b"retry-after")) <= 0.3
        assert stock.runs == []


@async_test
async def test_read_is_repeated_elsewhere_once():
    """A safe request goes to a second server after a failure of any kind."""
    first, second = service(), service("stock-2")
    async with entry_bench(services=(first, second)) as bench:
        for behaviour in (Behaviour.RESET, Behaviour.CUT, Behaviour.FAIL):
            first.plan, second.plan = [behaviour], []
            answer = await bench.call("/read/1", method=b"GET", body=b"")
            assert (answer.status, answer.body) == (200, b"booked")
            first.plan, second.plan = [], []


@async_test
async def test_late_answer_to_another_request_is_skipped():
    """An extra answer on the connection is never given to the caller."""
    stock = service()
    stock.plan = [Behaviour.LATE_EXTRA]
    async with entry_bench(services=(stock,)) as bench:
        answer = await bench.call("/book/1")
        assert (answer.status, answer.body) == (200, b"booked")


@async_test
async def test_stream_goes_on_elsewhere_without_a_gap():
    """A resumed stream delivers each event once, under the head of the first answer."""
    servers = (engine("engine-1", 8), engine("engine-2", 8))
    for server in servers:
        server.plan = [Behaviour.CUT]
    async with entry_bench(engines=servers) as bench:
        for server in servers:
            server.plan = [Behaviour.CUT] if server is servers[0] else []
        answers = [
            await bench.call("/query/1", tokens="35,60", prefix=f"s{number}:1,x:1")
            for number in range(6)
        ]
        assert any(len(server.runs) > 0 for server in servers)
        for answer in answers:
            assert (answer.status, answer.whole) == (200, True)
            ids = [
                int(line[3:]) for line in answer.body.split(b"\n") if line[:3] == b"id:"
            ]
            assert ids == list(range(1, 9))
        resumed = [run for run in servers[1].runs if run.get(b"last-event-id")]
        assert [run.text(b"last-event-id") for run in resumed] in ([], ["4"])


@async_test
async def test_stream_that_may_not_be_resumed_does_not_look_whole():
    """The connection is aborted after the last complete event."""
    draft = engine(events=6)
    draft.plan = [Behaviour.CUT]
    async with entry_bench(engines=(draft,)) as bench:
        answer = await bench.call("/draft/1", tokens="35,60")
        assert answer.status == 200
        assert not answer.whole
        assert answer.body.endswith(b"piece 3\n\n")
        assert len(draft.runs) == 1
        (line,) = await bench.wait_event("answer_cut")
        assert line["request"] == "attempt-1"


@async_test
async def test_caller_that_leaves_ends_the_work_of_the_server():
    """The server sees its connection close within half a second."""
    draft = engine()
    draft.plan = [Behaviour.HANG]
    async with entry_bench(engines=(draft,)) as bench:
        with anyio.move_on_after(0.3):
            await bench.call("/draft/1", tokens="35,30")
        with anyio.fail_after(0.5):
            while not draft.cancelled:
                await anyio.sleep(0.01)
        assert await bench.wait_event("request_abandoned")


@async_test
async def test_silent_server_is_answered_at_the_routes_timeout():
    """A request that may have run and got no answer in time is answered 504."""
    stock = service()
    stock.plan = [Behaviour.HANG]
    async with entry_bench(services=(stock,)) as bench:
        started = anyio.current_time()
        answer = await bench.call("/book/1", time_left_ms=400)
        assert answer.status == 504
        assert 0.3 < anyio.current_time() - started < 1.0


@async_test
async def test_moved_address_runs_nothing():
    """A server that has taken over an address is not asked to run the request."""
    stock = service()
    stock.plan = [Behaviour.MOVED]
    async with entry_bench(services=(stock,)) as bench:
        answer = await bench.call("/book/1")
        assert answer.status == 503
        assert stock.runs == []


@async_test
async def test_connection_serves_many_requests_and_is_reused_to_servers():
    """Requests of one caller share connections to the server."""
    stock = service()
    async with entry_bench(services=(stock,)) as bench:
        for _ in range(5):
            assert (await bench.call("/book/1")).status == 200
        assert stock.connections == 1


@async_test
async def test_without_a_route_of_the_new_version_the_old_one_is_gone():
    """A newer configuration replaces the keys; older or invalid ones are ignored."""
    stock = service()
    async with entry_bench(services=(stock,)) as bench:
        tenants = [{"name": "mill", "apiKeys": ["new"], "prepaid": 10}]
        bench.store.put("keyed.op", "config", configuration(5, tenants=tenants))
        await bench.wait_event("config_applied", 2)
        assert (await bench.call("/book/1", key=KEY)).status == 401
        assert (await bench.call("/book/1", key="new")).status == 200
        bench.store.put("keyed.op", "config", configuration(4))
        bench.store.put("keyed.op", "config", {"version": 9, "routes": 3})
        await bench.wait_event("config_rejected")
        assert (await bench.call("/book/1", key="new")).status == 200
