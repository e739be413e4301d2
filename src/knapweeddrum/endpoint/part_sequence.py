"""Checks that the parts of a stream belong to one run and that none is missing."""

from __future__ import annotations

from knapweeddrum.endpoint.answer_part import AnswerPart
from knapweeddrum.endpoint.exceptions import StreamCutError, WrongStreamError


class PartSequence:
    """Admits each part of a run once, in order, from part ``start`` on."""

    def __init__(self, run_id: str, start: int = 0) -> None:
        self._run_id = run_id
        self._next = start

    def admit(self, part: AnswerPart) -> bool:
        """Return whether the part is the next one; False if it is a repeat.

        Raises WrongStreamError for another run and StreamCutError for a gap.
        """
        if part.run_id != self._run_id:
            raise WrongStreamError(
                f"part is of run {part.run_id!r}, not {self._run_id!r}"
            )
        if part.index > self._next:
            raise StreamCutError(
                f"part {self._next} of run {self._run_id!r} is missing"
            )
        if part.index < self._next:
            return False
        self._next += 1
        return True
