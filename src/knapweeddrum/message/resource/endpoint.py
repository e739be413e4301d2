"""The resource ``endpoint``."""

from __future__ import annotations

import msgspec

from knapweeddrum.value.endpoint_kind import EndpointKind


class Endpoint(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A back end: its HTTP address, place and slots.

    ``checks_fence`` says whether an engine refuses orders with an old fencing number.
    """

    kind: EndpointKind
    address: str
    data_centre: str
    slots: int = 16
    checks_fence: bool = False
    leaving: bool = False
