"""The allowances that a keeper hands to a router."""

from __future__ import annotations

import msgspec

from knapweeddrum.message.call.allowance import Allowance
from knapweeddrum.message.call.shortfall import Shortfall


class DrawReply(msgspec.Struct, frozen=True):
    """Allowances for the demands that could be met, and a shortfall for each other."""

    allowances: tuple[Allowance, ...]
    shortfalls: tuple[Shortfall, ...]
