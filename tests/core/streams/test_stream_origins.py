from __future__ import annotations

from knapweeddrum.core.streams.endpoint_history import STREAM_MEMORY_SECONDS
from knapweeddrum.core.streams.question_limit import (
    BURST_QUESTIONS,
    QUESTIONS_PER_SECOND,
    QuestionLimit,
)
from knapweeddrum.core.streams.stream_origin import StreamOrigin, stream_key
from knapweeddrum.core.streams.stream_origins import StreamOrigins

FIRST, SECOND = StreamOrigin("engine", "v1"), StreamOrigin("engine", "v2")


def test_origin_is_remembered_for_as_long_as_a_stream_may_be_taken_up():
    """After that it is forgotten."""
    origins = StreamOrigins()
    assert origins.record("a", FIRST, 0.0)
    assert origins.find("a", STREAM_MEMORY_SECONDS - 0.1) == FIRST
    assert origins.find("a", STREAM_MEMORY_SECONDS) is None
    assert len(origins) == 0


def test_first_origin_of_a_stream_stays():
    """What brought the first event can't change later."""
    origins = StreamOrigins()
    origins.record("a", FIRST, 0.0)
    assert not origins.record("a", SECOND, 1.0)
    assert origins.find("a", 1.0) == FIRST


def test_number_of_remembered_streams_is_bounded():
    """The oldest are forgotten first."""
    origins = StreamOrigins(max_streams=100)
    for number in range(1000):
        origins.record(f"s{number}", FIRST, number / 1000)
    assert len(origins) <= 100
    assert origins.find("s999", 1.0) == FIRST
    assert origins.find("s0", 1.0) is None


def test_attempts_of_two_organisations_have_different_keys():
    """Neither the same id nor one that contains a line end names another's stream."""
    keys = {
        stream_key("mill", "a"),
        stream_key("office", "a"),
        stream_key(None, "a"),
        stream_key("mill", "a\n"),
        stream_key("mill", "\ud800"),
    }
    assert len(keys) == 5


def test_vain_questions_are_limited_for_each_organisation():
    """Answered ones are free, and an organisation does not use up another's."""
    limit = QuestionLimit()
    asked = sum(limit.take("flood", 0.0) for _ in range(1000))
    assert asked == BURST_QUESTIONS
    assert limit.take("mill", 0.0)
    assert sum(limit.take("flood", 1.0) for _ in range(1000)) == QUESTIONS_PER_SECOND
    for _ in range(1000):
        assert limit.take("office", 0.0)
        limit.give_back("office")
