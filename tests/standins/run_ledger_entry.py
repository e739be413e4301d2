"""An entry in the ledger of the stand-in for a model engine."""

from __future__ import annotations

import msgspec


class RunLedgerEntry(msgspec.Struct):
    """One run: its tokens, how it ended and when it started.

    A run identifier that is started again after a crash gets another entry. ``posts``
    counts the requests to start the run, ``leaving`` is the engine's switch at its
    start, and ``started_at`` is in Unix seconds, 0.0 for a run still in the queue.
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
