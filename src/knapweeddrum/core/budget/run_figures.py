"""What a request consumed, for its settlement."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RunFigures:
    """Tokens of all runs of a request at one router.

    ``tokens`` covers the last run, ``run_id``, and ``abandoned`` tokens of earlier
    ones. ``outcome`` is one of ``finished``, ``cancelled`` and ``cut``.
    """

    request_key: str
    run_id: str
    tokens: int
    outcome: str
    abandoned: int = 0
