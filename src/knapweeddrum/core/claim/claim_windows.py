"""How long the request claim ledger keeps claims and answers."""

from __future__ import annotations

import dataclasses

DAY = 24 * 3600.0
"""Seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimWindows:
    """Retention times in seconds of log time, and limits of the kept answers in bytes.

    Each time counts from the last change of a claim. ``claim`` applies to claims that
    are ``done`` or ``not_run``, and to the age at which a key expires. ``unresolved``
    applies to claims without an outcome or with ``unknown``; it is longer, because
    their winner may be paused before its dispatch. ``body`` applies to answer bodies. A
    body larger than ``body_limit`` is not kept; when all bodies together exceed
    ``body_total``, the oldest are removed first.
    """

    claim: float = DAY
    unresolved: float = 30 * DAY
    body: float = 3600.0
    body_limit: int = 16 * 1024
    body_total: int = 4 * 1024 * 1024
