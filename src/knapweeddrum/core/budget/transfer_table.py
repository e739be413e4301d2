"""The sender's record of transfers to other keepers."""

from __future__ import annotations

from knapweeddrum.core.budget.allowance_pool import AllowancePool
from knapweeddrum.core.budget.sent_transfer import SentTransfer
from knapweeddrum.core.replay.expiry import pop_expired
from knapweeddrum.message.call.allowance import Allowance

TRANSFER_REPEAT_WINDOW_SECONDS = 600.0
"""Time for which the reply to a transfer is kept for repeated requests."""


class TransferTable:
    """Debits the pool once for each transfer; a repeat gets the same reply.

    The receiver credits the slices once under the transfer identifier. A repeat after
    the window is debited again. If the first reply never arrived, its slices are then
    stranded: they stay in their grants, but no process can spend or return them.
    """

    def __init__(
        self, pool: AllowancePool, window: float = TRANSFER_REPEAT_WINDOW_SECONDS
    ) -> None:
        """``window`` is in seconds."""
        self._pool = pool
        self._window = window
        self._sent: dict[str, SentTransfer] = {}

    def send(
        self, transfer_id: str, budget: str, tokens: int, time: float
    ) -> tuple[Allowance, ...]:
        """Return up to ``tokens`` of a budget, taken out of the pool."""
        pop_expired(self._sent, _sent_time, time - self._window)
        known = self._sent.get(transfer_id)
        if known is not None:
            return known.allowances
        allowances = self._pool.withdraw(budget, tokens)
        self._sent[transfer_id] = SentTransfer(time=time, allowances=allowances)
        return allowances


def _sent_time(sent: SentTransfer) -> float:
    return sent.time
