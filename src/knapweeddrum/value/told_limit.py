"""A limit of an endpoint, as a host tells the others."""

from __future__ import annotations

import dataclasses
from typing import Annotated

import msgspec

from knapweeddrum.value.documents import Measure

MAX_ANSWER_COUNT = 64
"""Answers in a row above which a host's word is meaningless."""

AnswerCount = Annotated[int, msgspec.Meta(ge=0, le=MAX_ANSWER_COUNT)]


@dataclasses.dataclass(frozen=True, slots=True)
class ToldLimit:
    """``per_second`` requests from all hosts, None for a limit that has ended."""

    instance: str
    per_second: Measure | None
    age: Measure
    """Seconds since an answer named it, or named none."""
    unnamed_answers: AnswerCount = 0
    """Served answers in a row since then that did not name it."""
