"""Body of the request that starts a run."""

from __future__ import annotations

import msgspec


class RunBody(msgspec.Struct, frozen=True):
    """JSON of a model request; ``body`` is the caller's JSON, embedded as it is."""

    run_id: str
    model: str
    body: msgspec.Raw
    output_limit: int
    priority: int
