"""The holder's record of a witnessed grant."""

from __future__ import annotations

from knapweeddrum.message.call.allowance import Allowance


class OpenedGrant:
    """Only what the witness has acknowledged becomes an allowance.

    ``granted`` >= limit >= asked >= acknowledged, all in tokens.
    """

    __slots__ = ("_budget", "_grant_id", "_limit", "_asked", "_acknowledged")

    def __init__(self, grant_id: str, budget: str, granted: int) -> None:
        """``granted`` is the figure of the fold's verdict."""
        self._grant_id = grant_id
        self._budget = budget
        self._limit = granted
        self._asked = 0
        self._acknowledged = 0

    @property
    def unopened(self) -> int:
        """Return the tokens that the witness hasn't acknowledged."""
        return self._limit - self._acknowledged

    def ask(self, tokens: int) -> int:
        """Return the mark to ask the witness for, so that ``tokens`` more open.

        It is never below a mark asked before, whose reply may still come.
        """
        wanted = min(self._limit, self._acknowledged + max(0, tokens))
        self._asked = max(self._asked, wanted)
        return self._asked

    def acknowledge(self, upto: int) -> Allowance:
        """Return the slice that an allowed mark newly opens; empty for a late reply."""
        newly = max(0, min(upto, self._asked) - self._acknowledged)
        self._acknowledged += newly
        return Allowance(budget=self._budget, grant_id=self._grant_id, tokens=newly)

    def close(self) -> None:
        """Take note that the witness opens no more."""
        self._limit = self._asked = self._acknowledged

    def give_up(self) -> int:
        """Give up and return the tokens that no mark was ever asked for.

        They go back with a return that says that they were not opened.
        """
        given_up = self._limit - self._asked
        self._limit = self._asked
        return given_up
