"""A router's request for allowances."""

from __future__ import annotations

import msgspec

from knapweeddrum.message.call.token_demand import TokenDemand


class DrawRequest(msgspec.Struct, frozen=True):
    """Demands of one router; a repeat of ``draw_id`` gets the same reply."""

    draw_id: str
    router: str
    wants: tuple[TokenDemand, ...]
