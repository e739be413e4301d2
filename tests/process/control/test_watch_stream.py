from __future__ import annotations

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
    """Return a history of changes of three resources."""
    return [
        ResourceRecord("rule", f"r{offset % 3}", offset // 3 + 1, offset, b"{}")
        for offset in range(count)
    ]


def latest_of(records: list[ResourceRecord]) -> dict[str, ResourceRecord]:
    return {record.name: record for record in records}


def reply_of(records: list[ResourceRecord], after: int, upto: int) -> ConfigReply:
    """Return what a keeper that has folded up to ``upto`` answers."""
    known = records[: upto + 1]
    if after < upto - HISTORY_LIMIT:
        return ConfigReply(upto, tuple(latest_of(known).values()), snapshot=True)
    return ConfigReply(upto, tuple(item for item in known if item.offset > after))


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.lists(st.integers(0, 19), min_size=1), st.integers(1, 8))
def test_copy_never_goes_back(positions, history_limit):
    """Replies of keepers that lag or jump leave the copy at its newest state."""
    records = records_of(20)
    copy = ConfigCopy(history_limit)
    for upto in positions:
        reached = max(copy.offset, upto)
        copy.apply(reply_of(records, copy.offset, upto))
        assert copy.offset == reached
        expected = latest_of(records[: reached + 1])
        assert {item.name: item for item in copy.resources()} == expected
        changes = copy.changes_after(reached - 1)
        assert changes is None or [item.offset for item in changes] == [reached]


class CopyFollower:
    """The part of a follower that a stream reads."""

    def __init__(self, copy: ConfigCopy) -> None:
        self.copy = copy


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.lists(st.integers(0, 19), min_size=1), st.integers(-1, 19))
def test_watcher_sees_each_change_once_in_order(positions, start):
    """A watcher sees each change once in order, or a snapshot when it is too old."""
    records = records_of(20)
    copy = ConfigCopy(HISTORY_LIMIT)
    stream = WatchStream(CopyFollower(copy), anyio.Event(), start, "")
    seen = start
    view = latest_of(records[: start + 1])
    for upto in sorted(positions):
        copy.apply(reply_of(records, copy.offset, upto))
        for name, event_id, data in map(parse, stream._pending()):
            if name == "change":
                assert event_id == seen + 1
                seen = event_id
            if name == "snapshot":
                view = {}
            if name in {"change", "resource"}:
                view[data["name"]] = records[data["offset"]]
            if name == "snapshot-end":
                assert event_id > seen
                seen = event_id
        assert seen == max(start, copy.offset)
        assert view == latest_of(records[: seen + 1])


def parse(event: bytes) -> tuple[str, int, dict]:
    """Return name, identifier (-1: none) and data of an event."""
    fields = dict(line.split(": ", 1) for line in event.decode().strip().split("\n"))
    return fields["event"], int(fields.get("id", -1)), json.loads(fields["data"])


@async_test
async def test_stream_ends_cleanly_on_stop():
    """A stop ends an open stream with the event ``end`` after the changes."""
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
    """Beyond the limit a watcher is sent away with 503 and Retry-After."""
    async with control_bench(watch_limit=1) as bench, anyio.create_task_group() as tg:
        await bench.put("organisation/mill", 0, {"key_digests": []})
        tg.start_soon(bench.call, "GET", "/v1/watch")
        await anyio.wait_all_tasks_blocked()
        answer = await bench.call("GET", "/v1/watch")
        assert (answer.status, answer.document["reason"]) == (503, "overloaded")
        assert "retry-after" in answer.headers
        bench.stopping.set()
