"""The resource ``route``."""

from __future__ import annotations

import msgspec

from knapweeddrum.value.endpoint_kind import EndpointKind


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A name that callers ask for, and the endpoints that serve it.

    For model engines, callers give the route's name as the model; ``model`` is the name
    that is sent to the engines, empty for the same. ``output_limit`` is in tokens,
    ``in_progress_limit`` in requests at one router, ``timeout`` in seconds.
    """

    kind: EndpointKind
    endpoints: tuple[str, ...]
    model: str = ""
    output_limit: int = 1024
    in_progress_limit: int = 256
    timeout: float = 30.0
