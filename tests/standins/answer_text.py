"""The deterministic text that the stand-in for a model engine generates."""

from __future__ import annotations

import hashlib

TOKEN_LENGTH = 6


def token_text(run_id: str, index: int) -> str:
    """Return the text of one token of a run."""
    digest = hashlib.sha256(f"{run_id}/{index}".encode()).hexdigest()
    return f"{digest[:TOKEN_LENGTH]} "


def answer_text(run_id: str, tokens: int) -> str:
    """Return the text of an answer of ``tokens`` tokens."""
    return "".join(token_text(run_id, index) for index in range(tokens))
