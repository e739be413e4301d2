"""Decides whether an answer that has ended is whole.

A length or chunks prove it. A stream of events has no last event that its protocol
names, so the end of a connection proves nothing by itself: the process of the endpoint
may have ended. It counts as the end of the answer only if the endpoint shows after it
that it still runs. Any other answer counts as broken off: a stream that may be resumed
goes on at another endpoint, a safe request is repeated, and every other caller gets a
cut answer or 502.
"""

from __future__ import annotations

import dataclasses

from knapweeddrum.core.admission.crash_evidence import SIGN_OF_LIFE_SECONDS
from knapweeddrum.core.routing.answer_end import AnswerEnd
from knapweeddrum.core.routing.life_sign import LifeSign
from knapweeddrum.value.answer_end_reason import AnswerEndReason
from knapweeddrum.value.body_framing import BodyFraming

MAX_DOUBT_SECONDS = 1.0
"""Time after an answer for which an endpoint without a sign of life is asked again."""


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerVerdict:
    """Whether an answer is whole, and why."""

    end: AnswerEnd
    reason: AnswerEndReason


def judge_stream(
    framing: BodyFraming, *, inside_event: bool, has_events: bool
) -> AnswerVerdict:
    """Judge a stream of events after its last byte."""
    if inside_event:
        return AnswerVerdict(AnswerEnd.BROKEN_OFF, AnswerEndReason.INSIDE_EVENT)
    if framing is BodyFraming.CONNECTION and not has_events:
        return AnswerVerdict(AnswerEnd.BROKEN_OFF, AnswerEndReason.NO_EVENT)
    return judge_body(framing)


def judge_body(framing: BodyFraming) -> AnswerVerdict:
    """Judge an answer of any other kind after its last byte."""
    if framing is BodyFraming.CONNECTION:
        return AnswerVerdict(AnswerEnd.UNKNOWN, AnswerEndReason.CONNECTION_ENDED)
    return AnswerVerdict(AnswerEnd.WHOLE, AnswerEndReason.FRAMED)


def first_question_delay(*, leaving: bool, replies: bool) -> float:
    """Return the seconds after which the endpoint of an unknown end is asked first.

    One that leaves may cut its answers itself just before it exits. One that replies to
    no question shows nothing before its process would have ended.
    """
    return SIGN_OF_LIFE_SECONDS if leaving or not replies else 0.0


def judge_by_life_sign(sign: LifeSign, asked_after: float) -> AnswerVerdict:
    """Judge an answer of unknown end by what its endpoint does after it.

    ``asked_after`` is the time in seconds from the end of the answer until the endpoint
    was asked. UNKNOWN means that it is to be asked again.
    """
    if sign is LifeSign.REFUSED:
        return AnswerVerdict(AnswerEnd.BROKEN_OFF, AnswerEndReason.ENDPOINT_GONE)
    if sign in {LifeSign.REPLIED, LifeSign.KEPT_OPEN}:
        return AnswerVerdict(AnswerEnd.WHOLE, AnswerEndReason.CONNECTION_ENDED)
    if sign is LifeSign.ACCEPTED and asked_after >= SIGN_OF_LIFE_SECONDS:
        return AnswerVerdict(AnswerEnd.WHOLE, AnswerEndReason.CONNECTION_ENDED)
    if asked_after >= MAX_DOUBT_SECONDS:
        return AnswerVerdict(AnswerEnd.BROKEN_OFF, AnswerEndReason.ENDPOINT_SILENT)
    return AnswerVerdict(AnswerEnd.UNKNOWN, AnswerEndReason.CONNECTION_ENDED)
