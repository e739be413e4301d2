"""Tokens that a peer hands over."""

from __future__ import annotations

import msgspec

from knapweeddrum.message.call.allowance import Allowance


class TransferReply(msgspec.Struct, frozen=True):
    """Slices of grants; empty when the peer has none to spare."""

    allowances: tuple[Allowance, ...]
