from __future__ import annotations

import itertools

from knapweeddrum.core.routing.answer_end import AnswerEnd
from knapweeddrum.core.routing.answer_verdict import (
    judge_body,
    judge_by_endpoint,
    judge_stream,
)
from knapweeddrum.value.body_framing import BodyFraming


def test_stream_that_ended_inside_an_event_is_broken_whatever_framed_it():
    """Neither a length nor chunks make half an event whole."""
    for framing, has_events in itertools.product(BodyFraming, (False, True)):
        verdict = judge_stream(framing, inside_event=True, has_events=has_events)
        assert verdict.end is AnswerEnd.BROKEN_OFF


def test_end_of_the_connection_after_an_event_tells_nothing():
    """Only a length or chunks say that no event is missing."""
    for framing in BodyFraming:
        stream = judge_stream(framing, inside_event=False, has_events=True)
        ended_by_connection = framing is BodyFraming.CONNECTION
        expected = AnswerEnd.UNKNOWN if ended_by_connection else AnswerEnd.WHOLE
        assert stream.end is judge_body(framing).end is expected


def test_stream_without_events_is_whole_only_if_its_framing_says_so():
    """An end of the connection before the first event breaks the stream off."""
    for framing in BodyFraming:
        verdict = judge_stream(framing, inside_event=False, has_events=False)
        ended_by_connection = framing is BodyFraming.CONNECTION
        expected = AnswerEnd.BROKEN_OFF if ended_by_connection else AnswerEnd.WHOLE
        assert verdict.end is expected


def test_endpoint_that_refuses_connections_has_not_ended_its_answer():
    """An endpoint that still listens has ended its answer itself."""
    gone = judge_by_endpoint(refuses_connections=True)
    assert gone.end is AnswerEnd.BROKEN_OFF
    assert judge_by_endpoint(refuses_connections=False).end is AnswerEnd.WHOLE
