"""Names of the counters that are not derived from a reason."""

from __future__ import annotations

from knapweeddrum.value.refusal_reason import RefusalReason
from knapweeddrum.value.retry_reason import RetryReason

REQUESTS = "requests"
ANSWERED = "answered"
CANCELLED = "cancelled"
SETTLED = "settled"

ALL_COUNTERS: tuple[str, ...] = (REQUESTS, ANSWERED, CANCELLED, SETTLED)


def refusal_counter(reason: RefusalReason) -> str:
    """Return the name of the counter of a refusal reason."""
    return f"refusal.{reason.value}"


def retry_counter(reason: RetryReason) -> str:
    """Return the name of the counter of a retry reason."""
    return f"retry.{reason.value}"
