"""The resource ``engine-order``."""

from __future__ import annotations

import msgspec

from knapweeddrum.value.engine_action import EngineAction
from knapweeddrum.value.order_state import OrderState


class EngineOrderSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The latest order to one engine; the resource is named as the engine's endpoint.

    The fields from ``state`` on are set by control processes. ``issuer`` is the
    incarnation that has claimed the order, ``requested_version`` the version of the
    resource that it carries out, and ``checks_fence`` what the engine did then. The
    offset of the version in state ``issuing`` is the fencing number; ``fence`` keeps
    it afterwards, -1 before.
    """

    endpoint: str
    action: EngineAction
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""
    state: OrderState = OrderState.REQUESTED
    issuer: str = ""
    requested_version: int = 0
    checks_fence: bool = False
    fence: int = -1
