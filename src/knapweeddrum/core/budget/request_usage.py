"""The tokens that a request consumed, for its settlement."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RequestUsage:
    """Tokens consumed by all runs of a request at one router.

    ``tokens`` counts the last run, ``run_id``, and the ``abandoned`` tokens of earlier
    runs. ``outcome`` is one of ``finished``, ``cancelled`` and ``cut``.
    """

    request_key: str
    run_id: str
    tokens: int
    outcome: str
    abandoned: int = 0
