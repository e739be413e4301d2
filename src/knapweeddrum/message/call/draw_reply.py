"""The allowances that a keeper gives to a router."""

from __future__ import annotations

import msgspec

from knapweeddrum.message.call.allowance import Allowance
from knapweeddrum.message.call.shortfall import Shortfall


class DrawReply(msgspec.Struct, frozen=True):
    """Allowances for the demands that could be met, shortfalls for the others."""

    allowances: tuple[Allowance, ...]
    shortfalls: tuple[Shortfall, ...]
