"""How long the request claim ledger keeps claims and answers."""

from __future__ import annotations

import dataclasses

DAY_SECONDS = 24 * 3600.0


@dataclasses.dataclass(frozen=True, slots=True)
class RequestClaimWindows:
    """Retention times in seconds of log time, and limits of the kept answers in bytes.

    ``resolved_seconds`` applies to claims that are ``done`` or ``not_run``,
    ``unresolved_seconds`` to claims without an outcome or with ``unknown``, and
    ``body_seconds`` to answer bodies; each counts from the last change of the claim.
    Unresolved claims are kept longer, because their winner may be paused before its
    dispatch. A key expires ``resolved_seconds`` after it was issued. A body larger than
    ``max_body_bytes`` is not kept; when all kept bodies exceed
    ``max_total_body_bytes``, the oldest are removed first.
    """

    resolved_seconds: float = DAY_SECONDS
    unresolved_seconds: float = 30 * DAY_SECONDS
    body_seconds: float = 3600.0
    max_body_bytes: int = 16 * 1024
    max_total_body_bytes: int = 4 * 1024 * 1024
