"""A keeper's request to a peer for tokens of a budget."""

from __future__ import annotations

import msgspec


class TransferRequest(msgspec.Struct, frozen=True):
    """Asks for up to ``tokens``, which the peer debits before it replies.

    ``keeper`` is the incarnation that asks. A repeat of ``transfer_id`` gets the same
    reply.
    """

    transfer_id: str
    keeper: str
    budget: str
    tokens: int
