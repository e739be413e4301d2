from __future__ import annotations

from knapweeddrum.core.catalog.endpoint_entry import UNKNOWN_VERSION, EndpointEntry
from knapweeddrum.core.streams.endpoint_history import STREAM_MEMORY_SECONDS
from knapweeddrum.core.streams.version_recall import VersionRecall
from knapweeddrum.core.streams.version_record import SoleVersion, VersionRecord

RECORD = VersionRecord(7, (SoleVersion("engine", "v1", 12.0),))


def recall(record: VersionRecord | None, *versions: str) -> list[SoleVersion]:
    """Return what is known once entries of some versions were read."""
    recall = VersionRecall(record)
    for version in versions:
        entry = EndpointEntry(
            "e", "engine", "10.0.0.1:1", "a", 8, software_version=version
        )
        recall.apply(entry)
    return recall.sole_versions()


def test_record_holds_unless_another_version_was_listed_since():
    """Entries of the same version, or none at all, change nothing."""
    assert recall(RECORD) == [SoleVersion("engine", "v1", 12.0)]
    assert recall(RECORD, "v1", "v1") == [SoleVersion("engine", "v1", 12.0)]
    assert recall(RECORD, "v1", "v2") == []
    assert recall(RECORD, "v2") == []
    assert recall(RECORD, "v1", UNKNOWN_VERSION) == []


def test_service_that_the_record_lacks_is_unknown():
    """It had several versions, or was not listed at that moment."""
    assert recall(VersionRecord(7, ()), "v1") == []


def test_without_a_record_all_entries_ever_written_decide():
    """No other version can have begun a stream."""
    assert recall(None, "v1", "v1") == [
        SoleVersion("engine", "v1", STREAM_MEMORY_SECONDS)
    ]
    assert recall(None, "v1", "v2") == []
    assert recall(None, UNKNOWN_VERSION) == []
    assert recall(None) == []


def test_entries_are_needed_from_the_end_of_the_record_on():
    """From the very first without one."""
    assert VersionRecall(RECORD).first_offset == 7
    assert VersionRecall(None).first_offset == 0
