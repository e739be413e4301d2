"""Limit on questions to other hosts that lead to nothing."""

from __future__ import annotations

import dataclasses

BURST_QUESTIONS = 64.0
QUESTIONS_PER_SECOND = 10.0


@dataclasses.dataclass(slots=True)
class _Allowance:
    questions: float
    updated_at: float


class QuestionLimit:
    """A token bucket for each organisation; a question that was answered is free.

    Values that name no stream thus cost no more than a few questions, and those that
    do are never held up. Times are in monotonic seconds.
    """

    def __init__(self) -> None:
        self._allowances: dict[str, _Allowance] = {}

    def take(self, organisation: str, now: float) -> bool:
        """Take one question; return whether there was one."""
        allowance = self._allowances.setdefault(
            organisation, _Allowance(BURST_QUESTIONS, now)
        )
        refill = (now - allowance.updated_at) * QUESTIONS_PER_SECOND
        allowance.questions = min(BURST_QUESTIONS, allowance.questions + refill)
        allowance.updated_at = now
        if allowance.questions < 1:
            return False
        allowance.questions -= 1
        return True

    def give_back(self, organisation: str) -> None:
        """Give a question back that was answered."""
        self._allowances[organisation].questions += 1
