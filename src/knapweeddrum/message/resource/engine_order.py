"""The resource ``engine-order``."""

from __future__ import annotations

import msgspec

from knapweeddrum.value.engine_action import EngineAction
from knapweeddrum.value.order_state import OrderState


class EngineOrderSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The latest order to one engine; the resource is named as the engine's endpoint.

    ``fence`` is the log offset at which the order was requested, -1 until a control
    process with the incarnation ``issuer`` has claimed it.
    """

    endpoint: str
    action: EngineAction
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""
    state: OrderState = OrderState.REQUESTED
    fence: int = -1
    issuer: str = ""
