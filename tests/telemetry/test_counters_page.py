from __future__ import annotations

import pathlib

from knapweeddrum import telemetry
from knapweeddrum.telemetry import counters
from knapweeddrum.telemetry.counters import (
    FIXED_COUNTERS,
    answer_end_counter,
    connect_counter,
    control_refusal_counter,
    notice_counter,
    refusal_counter,
    retry_counter,
    start_reply_counter,
)
from knapweeddrum.value.answer_end_reason import AnswerEndReason
from knapweeddrum.value.control_refusal_reason import ControlRefusalReason
from knapweeddrum.value.endpoint_notice import EndpointNotice
from knapweeddrum.value.probe_result import ProbeResult
from knapweeddrum.value.refusal_reason import RefusalReason
from knapweeddrum.value.retry_reason import RetryReason
from knapweeddrum.value.start_reply import StartReply
from tests.telemetry.catalogue import table_rows

SOURCES = pathlib.Path(telemetry.__file__).parent.parent


def test_page_lists_each_counter_once():
    """docs/COUNTERS.md has one row for each counter, those of the reasons included."""
    in_code = [
        *FIXED_COUNTERS,
        *map(refusal_counter, RefusalReason),
        *map(retry_counter, RetryReason),
        *map(answer_end_counter, AnswerEndReason),
        *map(notice_counter, EndpointNotice),
        *map(connect_counter, ProbeResult),
        *map(start_reply_counter, StartReply),
        *map(control_refusal_counter, ControlRefusalReason),
    ]
    rows = table_rows("COUNTERS.md")
    assert sorted(row[0].strip("`") for row in rows) == sorted(in_code)
    assert all(row[1] for row in rows)


def test_each_counter_constant_is_listed():
    """Each constant of the counters module is in the list that the page must match."""
    names = {
        value
        for name, value in vars(counters).items()
        if name.isupper() and isinstance(value, str)
    }
    assert names == set(FIXED_COUNTERS)


def test_counters_are_named_in_one_module():
    """No code passes a literal name to ``count``, which the page would then lack."""
    for path in SOURCES.rglob("*.py"):
        assert '.count("' not in path.read_text(encoding="utf-8"), path
