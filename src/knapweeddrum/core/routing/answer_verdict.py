"""Decides whether an answer that has ended is whole."""

from __future__ import annotations

import dataclasses

from knapweeddrum.core.routing.answer_end import AnswerEnd
from knapweeddrum.value.answer_end_reason import AnswerEndReason
from knapweeddrum.value.body_framing import BodyFraming


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


def judge_by_endpoint(*, refuses_connections: bool) -> AnswerVerdict:
    """Judge an answer of unknown end by what its endpoint does just after it."""
    if refuses_connections:
        return AnswerVerdict(AnswerEnd.BROKEN_OFF, AnswerEndReason.ENDPOINT_GONE)
    return AnswerVerdict(AnswerEnd.WHOLE, AnswerEndReason.CONNECTION_ENDED)
