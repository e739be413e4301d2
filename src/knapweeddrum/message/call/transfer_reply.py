"""Tokens that a peer transfers."""

from __future__ import annotations

import msgspec

from knapweeddrum.message.call.allowance import Allowance


class TransferReply(msgspec.Struct, frozen=True):
    """Tokens of the peer's grants; empty when it has none to spare."""

    allowances: tuple[Allowance, ...]
