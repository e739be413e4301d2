"""The holder's record of how much of a witnessed grant is unlocked."""

from __future__ import annotations

from knapweeddrum.message.call.allowance import Allowance


class GrantUnlockState:
    """Limits of one grant; only tokens that its witness acknowledged may be spent.

    Each limit counts tokens from the start of the grant. The limit up to which the
    witness may still unlock >= the highest requested limit >= the unlocked limit, which
    the witness has acknowledged.
    """

    __slots__ = (
        "_budget",
        "_grant_id",
        "_unlockable_limit",
        "_requested_limit",
        "_unlocked_limit",
    )

    def __init__(self, grant_id: str, budget: str, granted: int) -> None:
        """``granted`` is the number of tokens in the ledger's verdict on the grant."""
        self._grant_id = grant_id
        self._budget = budget
        self._unlockable_limit = granted
        self._requested_limit = 0
        self._unlocked_limit = 0

    @property
    def locked(self) -> int:
        """Return the tokens that the witness has not acknowledged as unlocked."""
        return self._unlockable_limit - self._unlocked_limit

    def request_unlock(self, tokens: int) -> int:
        """Return the limit to request from the witness to unlock ``tokens`` more.

        The limit is never below one requested before, as its reply may still arrive.
        """
        wanted = min(self._unlockable_limit, self._unlocked_limit + max(0, tokens))
        self._requested_limit = max(self._requested_limit, wanted)
        return self._requested_limit

    def record_unlocked(self, limit: int) -> Allowance:
        """Record that the witness allowed a limit; return the newly unlocked slice.

        The slice is empty if a higher limit was allowed before or the grant is closed.
        """
        newly = max(0, min(limit, self._requested_limit) - self._unlocked_limit)
        self._unlocked_limit += newly
        return Allowance(budget=self._budget, grant_id=self._grant_id, tokens=newly)

    def close(self) -> None:
        """Record that the witness will unlock no more of the grant."""
        self._unlockable_limit = self._requested_limit = self._unlocked_limit

    def give_up_locked(self) -> int:
        """Give up the tokens above all requested limits and return their number.

        The caller returns them to the balance as tokens that were never unlocked.
        """
        given_up = self._unlockable_limit - self._requested_limit
        self._unlockable_limit = self._requested_limit
        return given_up
