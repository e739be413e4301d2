from __future__ import annotations

import itertools
import json

import anyio
from hypothesis import given, settings
from hypothesis import strategies as st

from knapweeddrum.message.call.config_reply import ConfigReply
from knapweeddrum.message.call.resource_record import ResourceRecord
from knapweeddrum.process.control.config_copy import ConfigCopy
from knapweeddrum.process.control.watch_stream import WatchStream
from tests.async_test import async_test
from tests.process.control.control_bench import control_bench

HISTORY_LIMIT = 4


def records_of(count: int) -> list[ResourceRecord]:
    """Return changes of six resources, two changes at every even offset."""
    names = [(f"r{offset % 3}", offset) for offset in range(count)]
    twice = [(f"s{offset % 3}", offset) for offset in range(0, count, 2)]
    ordered = sorted(names + twice, key=lambda item: item[1])
    return [
        ResourceRecord("rule", name, offset + 1, offset, b"{}")
        for name, offset in ordered
    ]


def upto_offset(records: list[ResourceRecord], offset: int) -> list[ResourceRecord]:
    """Return the records up to and including a log offset."""
    return [record for record in records if record.offset <= offset]


def latest_of(records: list[ResourceRecord]) -> dict[str, ResourceRecord]:
    return {record.name: record for record in records}


def reply_of(records: list[ResourceRecord], after: int, upto: int) -> ConfigReply:
    """Return the reply of a keeper that has applied the log up to ``upto``."""
    known = upto_offset(records, upto)
    if after < upto - HISTORY_LIMIT:
        return ConfigReply(upto, tuple(latest_of(known).values()), snapshot=True)
    return ConfigReply(upto, tuple(item for item in known if item.offset > after))


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.lists(st.integers(0, 19), min_size=1), st.integers(1, 8))
def test_copy_never_returns_to_an_earlier_state(positions, history_limit):
    """Replies of lagging keepers are ignored, so the copy keeps its newest state."""
    records = records_of(20)
    copy = ConfigCopy(history_limit)
    for upto in positions:
        reached = max(copy.offset, upto)
        copy.apply(reply_of(records, copy.offset, upto))
        assert copy.offset == reached
        expected = latest_of(upto_offset(records, reached))
        assert {item.name: item for item in copy.resources()} == expected
        changes = copy.changes_after(reached - 1)
        assert changes is None or {item.offset for item in changes} == {reached}


class StubFollower:
    """Stub of a config follower: holds the copy and never updates it."""

    def __init__(self, copy: ConfigCopy) -> None:
        self.copy = copy


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    st.lists(st.integers(0, 19), min_size=1),
    st.integers(-1, 19),
    st.lists(st.integers(0, 12)),
)
def test_watcher_sees_each_change_once_in_order(positions, start, cuts):
    """A client that is disconnected at any event resumes without missing a change.

    It gets the changes in order, or a snapshot when its offset is too old.
    """
    records = records_of(20)
    copy = ConfigCopy(HISTORY_LIMIT)
    watcher = Watcher(start, latest_of(upto_offset(records, start)))
    for upto in sorted(positions):
        copy.apply(reply_of(records, copy.offset, upto))
        for cut in cuts:
            watcher.resume(copy, records, cut)
        watcher.resume(copy, records, None)
        assert watcher.last_id == max(start, copy.offset)
        assert watcher.view == latest_of(upto_offset(records, watcher.last_id))


class Watcher:
    """A client that applies the events of streams, which may be disconnected."""

    def __init__(self, last_id: int, view: dict[str, ResourceRecord]) -> None:
        self.last_id = last_id
        self.view = view

    def resume(
        self, copy: ConfigCopy, records: list[ResourceRecord], cut: int | None
    ) -> None:
        """Apply the first ``cut`` events of a new stream, None for all."""
        stream = WatchStream(StubFollower(copy), anyio.Event(), self.last_id, "")
        seen = []
        for name, event_id, data in itertools.islice(
            map(parse, stream._pending_events()), cut
        ):
            if name == "snapshot":
                self.view = {}
            if name in {"change", "resource"}:
                key = (data["offset"], data["name"])
                record = next(r for r in records if (r.offset, r.name) == key)
                self.view[record.name] = record
            if name == "change":
                assert data["offset"] > self.last_id
                assert key not in seen
                seen.append(key)
            if event_id >= 0:
                assert event_id > self.last_id
                self.last_id = event_id
        assert [offset for offset, _ in seen] == sorted(offset for offset, _ in seen)


def parse(event: bytes) -> tuple[str, int, dict]:
    """Return the name, identifier (-1: none) and data of an encoded event."""
    fields = dict(line.split(": ", 1) for line in event.decode().strip().split("\n"))
    return fields["event"], int(fields.get("id", -1)), json.loads(fields["data"])


@async_test
async def test_open_stream_ends_with_an_event_on_stop():
    """Stopping the process sends the event ``end`` to each open stream."""
    async with control_bench() as bench, anyio.create_task_group() as tasks:
        await bench.put("organisation/mill", 0, {"key_digests": []})
        await bench.put("organisation/mill", 1, {"key_digests": [], "weight": 2})
        answers = []

        async def watch():
            answers.append(await bench.call("GET", "/v1/watch", last_event_id="0"))

        tasks.start_soon(watch)
        await anyio.wait_all_tasks_blocked()
        bench.stopping.set()
    events = [parse(event) for event in answers[0].body.split(b"\n\n") if event]
    assert [event[0] for event in events] == ["change", "end"]
    assert events[0][1] == 1
    assert events[0][2]["spec"]["weight"] == 2


@async_test
async def test_number_of_streams_is_bounded():
    """A client beyond the limit gets 503 and Retry-After."""
    async with control_bench(watch_limit=1) as bench, anyio.create_task_group() as tg:
        await bench.put("organisation/mill", 0, {"key_digests": []})
        tg.start_soon(bench.call, "GET", "/v1/watch")
        await anyio.wait_all_tasks_blocked()
        answer = await bench.call("GET", "/v1/watch")
        assert (answer.status, answer.document["reason"]) == (503, "overloaded")
        assert "retry-after" in answer.headers
        bench.stopping.set()
