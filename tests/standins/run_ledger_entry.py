"""A run in the ledger of the stand-in engine."""

from __future__ import annotations

import msgspec


class RunLedgerEntry(msgspec.Struct):
    """One generation of a run: its tokens, how it ended and when it started.

    A run identifier has one entry for each time that the engine generated it.
    ``posts`` counts the requests to start it, ``started_at`` is Unix seconds and 0.0
    for a run that never left the queue.
    """

    run_id: str
    model: str
    priority: int
    prompt_tokens: int
    output_tokens: int = 0
    finished: bool = False
    cancelled: bool = False
    crashed: bool = False
    leaving: bool = False
    posts: int = 1
    started_at: float = 0.0
