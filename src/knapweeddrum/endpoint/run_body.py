"""Body of the start of a run."""

from __future__ import annotations

import msgspec


class RunBody(msgspec.Struct, frozen=True):
    """``body`` is the caller's JSON; ``output_limit`` is in tokens."""

    run_id: str
    model: str
    body: msgspec.Raw
    output_limit: int
    priority: int
