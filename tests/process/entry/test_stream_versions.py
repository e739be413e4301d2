from __future__ import annotations

import signal

import anyio

from knapweeddrum.platform.fleet_codec import VERSIONS_KEY
from knapweeddrum.platform.streams import HOSTS_STREAM, SERVICE_LIST_STREAM
from tests.async_test import async_test
from tests.process.entry.entry_harness import EntryHarness
from tests.process.entry.version_fleet import (
    OTHER_KEY,
    RESUMED_PATH,
    Stream,
    VersionFleet,
    version_fleet,
)

STREAMS = 12
RECORDED_SECONDS = 5.0
"""Time in which hosts have recorded the versions of the services."""
HEARTBEATS_READ_SECONDS = 2.0
"""Time in which a host reads several heartbeats of each engine."""
PROBED_TWICE_SECONDS = 0.4
"""Time after which a host has examined an endpoint that broke streams off twice."""
RETRIED_STREAMS = 6
"""Streams that one host may go on with by itself, by the users' bound on retries."""
TWO_OF_EACH = ("v1", "v2", "v1", "v2")


def assert_one_version_each(streams: list[Stream]) -> None:
    """Assert that no stream holds events of two versions."""
    assert [len(stream.versions) for stream in streams] == [1] * len(streams)


def went_on(streams: list[Stream]) -> int:
    """Return how many streams were brought to their end."""
    return sum(stream.is_whole for stream in streams)


async def take_up_elsewhere(fleet: VersionFleet, streams: list[Stream]) -> None:
    """Go on with each stream at the host after the one that began it."""
    for number, stream in enumerate(streams):
        await fleet.take_up(fleet.hosts[(number + 1) % len(fleet.hosts)], stream)


@async_test
async def test_interrupted_stream_never_goes_on_at_another_version_within_an_answer():
    """It goes on at the other engine of its version."""
    async with version_fleet(1, TWO_OF_EACH) as fleet:
        streams = [
            await fleet.begin(fleet.hosts[0], RESUMED_PATH)
            for _ in range(RETRIED_STREAMS)
        ]
    assert_one_version_each(streams)
    assert went_on(streams) == RETRIED_STREAMS


@async_test
async def test_stream_without_another_engine_of_its_version_is_cut_at_once():
    """The caller isn't held, and the answer doesn't look complete."""
    async with version_fleet(1, ("v1", "v2", "v3")) as fleet:
        streams = [
            await fleet.begin(fleet.hosts[0], RESUMED_PATH) for _ in range(STREAMS)
        ]
        assert len(fleet.hosts[0].events("answer_cut")) == STREAMS
    assert_one_version_each(streams)
    assert not any(stream.answers[0].is_complete for stream in streams)


@async_test
async def test_stream_taken_up_at_another_host_never_goes_on_at_another_version():
    """Any host knows which version began it."""
    async with version_fleet(3, TWO_OF_EACH) as fleet:
        streams = [await fleet.begin(fleet.hosts[n % 3]) for n in range(STREAMS)]
        await take_up_elsewhere(fleet, streams)
    assert_one_version_each(streams)
    assert went_on(streams) >= STREAMS / 2


@async_test
async def test_stream_whose_host_was_killed_never_goes_on_at_another_version():
    """Other hosts know which version began it."""
    async with version_fleet(4, TWO_OF_EACH) as fleet:
        streams = [await fleet.begin(fleet.hosts[0]) for _ in range(STREAMS)]
        fleet.hosts.pop(0).send_signal(signal.SIGKILL)
        await take_up_elsewhere(fleet, streams)
    assert_one_version_each(streams)
    assert went_on(streams) >= STREAMS / 2


@async_test
async def test_host_that_has_just_started_never_joins_two_versions():
    """It asks those that know."""
    async with version_fleet(3, TWO_OF_EACH) as fleet:
        streams = [await fleet.begin(fleet.hosts[n % 3]) for n in range(STREAMS)]
        newcomer = await fleet.add_host()
        for stream in streams:
            await fleet.take_up(newcomer, stream)
    assert_one_version_each(streams)
    assert went_on(streams) >= STREAMS / 2


@async_test
async def test_stream_of_before_the_second_version_never_goes_on_at_it():
    """Streams that began while there was one version are known too."""
    async with version_fleet(3, ("v1", "v1")) as fleet:
        streams = [await fleet.begin(fleet.hosts[n % 3]) for n in range(STREAMS)]
        for _ in range(2):
            await fleet.add_engine("v2")
        await take_up_elsewhere(fleet, streams)
    assert_one_version_each(streams)
    assert went_on(streams) >= STREAMS / 2


@async_test
async def test_stream_of_unknown_beginning_is_refused_while_two_versions_serve():
    """A value that names no attempt of the caller's organisation allows nothing."""
    async with version_fleet(2, TWO_OF_EACH) as fleet:
        host = fleet.hosts[1]
        stream = await fleet.begin(fleet.hosts[0])
        runs = sum(len(engine.runs) for engine in fleet.engines)
        for resumes, key in (
            ("invented", OTHER_KEY),
            ("x" * 1000, OTHER_KEY),
            ("\xe9 \xff", OTHER_KEY),
            (stream.first_attempt, OTHER_KEY),
        ):
            answer = await fleet.take_up(host, stream, resumes=resumes, key=key)
            assert answer.status == 503, resumes
            assert answer.headers.get(b"retry-after") is not None
        assert sum(len(engine.runs) for engine in fleet.engines) == runs
        reasons = {line["reason"] for line in host.events("request_refused")}
        assert reasons == {"stream_version_unknown"}


@async_test
async def test_streams_of_a_single_version_go_on_at_any_host():
    """With one version for long enough there is nothing to know."""
    async with version_fleet(2, ("v1", "v1")) as fleet:
        streams = [await fleet.begin(fleet.hosts[0]) for _ in range(STREAMS)]
        await take_up_elsewhere(fleet, streams)
    assert went_on(streams) == STREAMS


@async_test
async def test_stream_goes_on_at_an_engine_that_drains_within_its_notice():
    """While versions change, the old one may be draining everywhere."""
    async with version_fleet(1, ("v1", "v1", "v2", "v2")) as fleet:
        host = fleet.hosts[0]
        streams = [await fleet.begin(host) for _ in range(STREAMS)]
        for engine in fleet.engines[:2]:
            engine.entry_changes["state"] = "draining"
        while not any(line["draining"] for line in host.events("endpoint_listed")):
            await anyio.sleep(0.02)
        for stream in streams:
            await fleet.take_up(host, stream)
    assert_one_version_each(streams)
    assert went_on(streams) == STREAMS


@async_test
async def test_entries_with_a_strange_version_join_nothing():
    """A version that is missing, empty, very long or no text equals no other."""
    async with version_fleet(1, ("v1", "v1")) as fleet:
        for version in (None, "", "x" * 5000, 7, ["v1"], {"v": 1}):
            engine = await fleet.add_engine("odd")
            engine.entry_changes["version"] = version
        await anyio.sleep(1.5)
        streams = [
            await fleet.begin(fleet.hosts[0], RESUMED_PATH) for _ in range(STREAMS)
        ]
    for stream in streams:
        assert stream.versions in ({b"v1"}, {b"odd"})
        assert stream.is_whole == (stream.versions == {b"v1"})


async def open_connections(fleet: VersionFleet, host: EntryHarness) -> None:
    """Have a host open several connections to all engines, which stay open."""
    for engine in fleet.engines:
        engine.event_gap = 0.05
    async with anyio.create_task_group() as tasks:
        for _ in range(STREAMS):
            tasks.start_soon(fleet.run_whole, host)


async def warm_up(fleet: VersionFleet) -> None:
    """Have the first host open connections to all engines."""
    for _ in range(STREAMS):
        await fleet.begin(fleet.hosts[0])
    fleet.cuts_next.clear()


@async_test
async def test_stream_never_goes_on_at_an_engine_restarted_under_its_id():
    """The entry of before the restart still names the old version."""
    async with version_fleet(1, ("v1", "v1", "v3")) as fleet:
        await warm_up(fleet)
        streams = [await fleet.begin(fleet.hosts[0]) for _ in range(STREAMS)]
        for engine in fleet.engines[:2]:
            await engine.restart("v2")
        for stream in streams:
            await fleet.take_up(fleet.hosts[0], stream)
    assert_one_version_each(streams)


@async_test
async def test_stream_never_goes_on_at_an_engine_that_restarted_between_two_probes():
    """It accepted a connection after its streams broke off, and then restarted."""
    async with version_fleet(1, ("v1", "v1", "v3")) as fleet:
        streams = [await fleet.begin(fleet.hosts[0]) for _ in range(STREAMS)]
        await anyio.sleep(PROBED_TWICE_SECONDS)
        for engine in fleet.engines[:2]:
            await engine.restart("v2")
        for stream in streams:
            await fleet.take_up(fleet.hosts[0], stream)
    assert_one_version_each(streams)


@async_test
async def test_stream_never_goes_on_at_a_restarted_engine_that_hides_its_start():
    """Only a connection that is older than the entry shows who answers."""
    async with version_fleet(1, ("v1", "v1", "v3")) as fleet:
        for engine in fleet.engines:
            engine.tells_start = False
        streams = [await fleet.begin(fleet.hosts[0]) for _ in range(STREAMS)]
        await anyio.sleep(PROBED_TWICE_SECONDS)
        for engine in fleet.engines[:2]:
            await engine.restart("v2")
        for stream in streams:
            await fleet.take_up(fleet.hosts[0], stream)
    assert_one_version_each(streams)


@async_test
async def test_stream_goes_on_at_engines_that_hide_their_start():
    """On connections that were open when the engines wrote their entries."""
    async with version_fleet(1, ("v1", "v1")) as fleet:
        for engine in fleet.engines:
            engine.tells_start = False
        host = fleet.hosts[0]
        await open_connections(fleet, host)
        await anyio.sleep(HEARTBEATS_READ_SECONDS)
        streams = [await fleet.begin(host, RESUMED_PATH) for _ in range(2)]
    assert went_on(streams) == len(streams)


@async_test
async def test_engines_are_asked_for_their_start_on_new_connections_only():
    """Neither each request nor one that isn't a stream costs a question."""
    async with version_fleet(1, ("v1",)) as fleet:
        (engine,) = fleet.engines
        for _ in range(STREAMS):
            await fleet.begin(fleet.hosts[0])
            fleet.cuts_next.clear()
        assert engine.reports <= engine.connections


@async_test
async def test_stream_of_an_engine_restarted_under_its_id_goes_on_nowhere_else():
    """The version that began it is not the one that the entry names."""
    async with version_fleet(1, ("v1", "v1")) as fleet:
        await warm_up(fleet)
        await fleet.engines[0].restart("v2")
        streams = [await fleet.begin(fleet.hosts[0]) for _ in range(STREAMS)]
        for stream in streams:
            await fleet.take_up(fleet.hosts[0], stream)
    assert any(b"v2" in stream.versions for stream in streams)
    assert_one_version_each(streams)


@async_test
async def test_engine_that_broke_off_a_stream_takes_streams_after_its_next_heartbeat():
    """An entry that was written after the loss shows that it did not restart."""
    async with version_fleet(1, ("v1", "v1", "v2")) as fleet:
        streams = [await fleet.begin(fleet.hosts[0]) for _ in range(STREAMS)]
        await anyio.sleep(HEARTBEATS_READ_SECONDS)
        for stream in streams:
            await fleet.take_up(fleet.hosts[0], stream)
    assert_one_version_each(streams)
    begun_at_v1 = [stream for stream in streams if stream.versions == {b"v1"}]
    assert begun_at_v1
    assert went_on(begun_at_v1) == len(begun_at_v1)


@async_test
async def test_streams_are_taken_up_while_the_store_is_away():
    """Hosts tell and ask each other, and join no two versions."""
    async with version_fleet(3, TWO_OF_EACH) as fleet:
        fleet.store.busy = True
        await anyio.sleep(1.0)
        streams = [await fleet.begin(fleet.hosts[n % 3]) for n in range(STREAMS)]
        await take_up_elsewhere(fleet, streams)
        fleet.store.busy = False
    assert_one_version_each(streams)
    assert went_on(streams) >= STREAMS / 2


@async_test
async def test_streams_of_a_single_version_go_on_after_all_hosts_were_killed():
    """No other version can have begun them."""
    async with version_fleet(2, ("v1", "v1")) as fleet:
        streams = [await fleet.begin(fleet.hosts[n % 2]) for n in range(STREAMS)]
        while fleet.hosts:
            fleet.hosts.pop().send_signal(signal.SIGKILL)
        host = await fleet.add_host()
        for stream in streams:
            await fleet.take_up(host, stream)
    assert went_on(streams) >= STREAMS / 2


VERSIONS = {b"v1", b"v2"}


async def kill_all_hosts(fleet: VersionFleet) -> None:
    """Kill all hosts once they have recorded the versions of the services."""
    with anyio.fail_after(RECORDED_SECONDS):
        while VERSIONS_KEY not in fleet.store.stream(HOSTS_STREAM).newest:
            await anyio.sleep(0.05)
    while fleet.hosts:
        fleet.hosts.pop().send_signal(signal.SIGKILL)


async def take_up_at_a_new_host(fleet: VersionFleet, streams: list[Stream]) -> None:
    """Go on with all streams at a host that has just started."""
    host = await fleet.add_host()
    for stream in streams:
        await fleet.take_up(host, stream)


@async_test
async def test_streams_go_on_after_a_kill_of_all_hosts_without_the_first_entries():
    """What a host recorded replaces the entries that the store has deleted."""
    async with version_fleet(2, ("v1", "v1")) as fleet:
        entries = fleet.store.stream(SERVICE_LIST_STREAM)
        before = entries.end
        await anyio.sleep(HEARTBEATS_READ_SECONDS)
        streams = [await fleet.begin(fleet.hosts[n % 2]) for n in range(STREAMS)]
        await kill_all_hosts(fleet)
        entries.expire_records(before)
        await take_up_at_a_new_host(fleet, streams)
    assert went_on(streams) >= STREAMS / 2


@async_test
async def test_stream_of_before_a_kill_of_all_hosts_never_goes_on_at_a_new_version():
    """All engines were replaced before the next host started."""
    async with version_fleet(2, ("v1", "v1")) as fleet:
        streams = [await fleet.begin(fleet.hosts[n % 2]) for n in range(STREAMS)]
        await kill_all_hosts(fleet)
        for engine in fleet.engines:
            engine.beats = None
            fleet.store.drop(SERVICE_LIST_STREAM, engine.server_id)
        for _ in range(2):
            await fleet.add_engine("v2")
        await take_up_at_a_new_host(fleet, streams)
    assert_one_version_each(streams)


@async_test
async def test_streams_of_two_versions_are_not_joined_after_a_kill_of_all_hosts():
    """While the old engines serve, and when they have just left, at two hosts."""
    async with version_fleet(2, ("v1", "v2", "v1", "v2")) as fleet:
        streams = [await fleet.begin(fleet.hosts[n % 2]) for n in range(STREAMS)]
        await kill_all_hosts(fleet)
        await take_up_at_a_new_host(fleet, streams[::2])
        for engine in fleet.engines[::2]:
            engine.beats = None
            fleet.store.drop(SERVICE_LIST_STREAM, engine.server_id)
        await kill_all_hosts(fleet)
        await take_up_at_a_new_host(fleet, streams[1::2])
    assert {version for stream in streams for version in stream.versions} == VERSIONS
    assert_one_version_each(streams)


@async_test
async def test_host_that_cannot_read_what_was_listed_joins_no_versions():
    """All engines were replaced, and the store has deleted the entries of before."""
    async with version_fleet(2, ("v1", "v1")) as fleet:
        streams = [await fleet.begin(fleet.hosts[n % 2]) for n in range(STREAMS)]
        await kill_all_hosts(fleet)
        for engine in fleet.engines:
            engine.beats = None
            fleet.store.drop(SERVICE_LIST_STREAM, engine.server_id)
        for _ in range(2):
            await fleet.add_engine("v2")
        fleet.store.stream(SERVICE_LIST_STREAM).expire_records()
        await take_up_at_a_new_host(fleet, streams)
    assert_one_version_each(streams)
    assert went_on(streams) == 0


@async_test
async def test_stream_never_goes_on_at_an_engine_that_restarted_at_once():
    """A restart that takes less time than it takes to notice it."""
    async with version_fleet(1, ("v1", "v1", "v3")) as fleet:
        for engine in fleet.engines[:2]:
            engine.beats = None
        streams = [await fleet.begin(fleet.hosts[0]) for _ in range(STREAMS)]
        for engine in fleet.engines[:2]:
            await engine.restart("v2", down=0.0)
        for stream in streams:
            await fleet.take_up(fleet.hosts[0], stream)
    assert_one_version_each(streams)


@async_test
async def test_stream_begun_after_a_restart_at_once_goes_on_nowhere_else():
    """The version that began it is not the one that the entry names."""
    async with version_fleet(1, ("v1", "v1")) as fleet:
        await warm_up(fleet)
        await fleet.engines[0].restart("v2", down=0.0)
        streams = [await fleet.begin(fleet.hosts[0]) for _ in range(STREAMS)]
        for stream in streams:
            await fleet.take_up(fleet.hosts[0], stream)
    assert any(b"v2" in stream.versions for stream in streams)
    assert_one_version_each(streams)
