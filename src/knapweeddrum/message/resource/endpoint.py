"""The resource ``endpoint``."""

from __future__ import annotations

import msgspec

from knapweeddrum.value.endpoint_kind import EndpointKind


class Endpoint(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A back end at ``http://IP:port``.

    ``slots`` is the number of requests that it runs at a time. A ``leaving`` endpoint
    gets no new requests.
    """

    kind: EndpointKind
    address: str
    data_centre: str
    slots: int = 16
    leaving: bool = False
