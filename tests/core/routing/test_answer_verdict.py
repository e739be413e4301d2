from __future__ import annotations

import itertools

from knapweeddrum.core.admission.crash_evidence import SIGN_OF_LIFE_SECONDS
from knapweeddrum.core.routing.answer_end import AnswerEnd
from knapweeddrum.core.routing.answer_verdict import (
    MAX_DOUBT_SECONDS,
    first_question_delay,
    judge_body,
    judge_by_life_sign,
    judge_stream,
)
from knapweeddrum.core.routing.life_sign import LifeSign
from knapweeddrum.value.body_framing import BodyFraming

TIMES = (
    0.0,
    SIGN_OF_LIFE_SECONDS / 2,
    SIGN_OF_LIFE_SECONDS,
    MAX_DOUBT_SECONDS,
    2 * MAX_DOUBT_SECONDS,
)


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
    """An endpoint that is gone may have ended before its answer."""
    for asked_after in TIMES:
        gone = judge_by_life_sign(LifeSign.REFUSED, asked_after)
        assert gone.end is AnswerEnd.BROKEN_OFF


def test_endpoint_that_replies_has_ended_its_answer_itself():
    """A process that has ended replies to nothing and keeps no connection."""
    for sign, asked_after in itertools.product(
        (LifeSign.REPLIED, LifeSign.KEPT_OPEN), TIMES
    ):
        assert judge_by_life_sign(sign, asked_after).end is AnswerEnd.WHOLE


def test_accepted_connection_is_a_sign_of_life_only_after_a_while():
    """Until a whole process has ended, the kernel accepts connections for it."""
    for asked_after in TIMES:
        verdict = judge_by_life_sign(LifeSign.ACCEPTED, asked_after)
        ended = asked_after < SIGN_OF_LIFE_SECONDS
        assert verdict.end is (AnswerEnd.UNKNOWN if ended else AnswerEnd.WHOLE)


def test_answer_of_an_endpoint_without_a_sign_of_life_is_broken_off_in_the_end():
    """What nothing proves whole is not told as whole."""
    for asked_after in TIMES:
        verdict = judge_by_life_sign(LifeSign.UNREACHED, asked_after)
        in_doubt = asked_after < MAX_DOUBT_SECONDS
        assert verdict.end is (AnswerEnd.UNKNOWN if in_doubt else AnswerEnd.BROKEN_OFF)


def test_each_sign_is_judged_in_the_end():
    """No endpoint is asked for ever."""
    for sign in LifeSign:
        verdict = judge_by_life_sign(sign, MAX_DOUBT_SECONDS)
        assert verdict.end is not AnswerEnd.UNKNOWN


def test_endpoint_that_leaves_is_asked_when_it_would_have_exited():
    """It may cut its answers itself and reply until it exits."""
    for replies in (False, True):
        delay = first_question_delay(leaving=True, replies=replies)
        assert delay >= SIGN_OF_LIFE_SECONDS


def test_endpoint_is_asked_first_when_its_sign_can_count():
    """Where a reply is a sign at once, no answer is held up."""
    assert first_question_delay(leaving=False, replies=True) == 0.0
    delay = first_question_delay(leaving=False, replies=False)
    assert judge_by_life_sign(LifeSign.ACCEPTED, delay).end is AnswerEnd.WHOLE
