"""What the log tells of why an endpoint is in use, or is not."""

from __future__ import annotations

from knapweeddrum.platform.keyed_record import KeyedRecord
from knapweeddrum.process.entry.service_list_reader import ServiceListReader
from knapweeddrum.process.entry.stream_read import StreamRead
from tests.process.entry.test_service_list_reader import BORN, context, record
from tests.standins.recording_event_log import RecordingEventLog


def reader_with_log() -> tuple[ServiceListReader, RecordingEventLog]:
    ctx = context()
    log = RecordingEventLog()
    ctx.events = log
    return ServiceListReader(ctx), log


def removal(offset: int) -> KeyedRecord:
    return KeyedRecord("e1", None, offset)


def test_log_tells_why_an_entry_is_left_out_and_what_it_was_compared_with():
    """Else nobody can tell a late write from an endpoint that came back."""
    reader, log = reader_with_log()
    reader.apply_records([record(0, 5)], 10.0)
    reader.on_up_to_date(StreamRead(9.9, 10.0, 1))
    reader.apply_records([removal(1)], 11.0)
    reader.on_up_to_date(StreamRead(10.9, 11.0, 2))
    reader.apply_records([record(2, 4)], 13.0)
    (listed,) = log.fields_of("endpoint_listed")
    assert listed["rule"] == "first"
    assert listed["known_entry"] is None
    (outdated,) = log.fields_of("entry_outdated")
    assert outdated["rule"] == "before_removal"
    assert outdated["known_entry"] == 5
    assert outdated["known_started_at_ms"] == BORN
    assert outdated["known_ms"] == 2000
    assert outdated["was_removed"] is True
    assert outdated["read_ms"] == 2100


def test_log_tells_that_a_removed_endpoint_is_still_used():
    """Its entry is kept after an outage, in which it may have lapsed."""
    reader, log = reader_with_log()
    reader.apply_records([record(0, 5)], 10.0)
    reader.on_up_to_date(StreamRead(9.9, 10.0, 1))
    reader.on_store_lost()
    reader.apply_records([removal(1)], 20.0)
    (kept,) = log.fields_of("endpoint_kept")
    assert kept["offset"] == 1
    assert kept["known_ms"] == 10_000
    assert kept["read_ms"] == 10_100
