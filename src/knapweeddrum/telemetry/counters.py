"""Names of the counters that are not derived from a reason."""

from __future__ import annotations

from knapweeddrum.value.control_refusal_reason import ControlRefusalReason
from knapweeddrum.value.refusal_reason import RefusalReason
from knapweeddrum.value.retry_reason import RetryReason

REQUESTS = "requests"
ANSWERED = "answered"
CANCELLED = "cancelled"
SETTLED = "settled"
PARTS_DROPPED = "parts_dropped"
CONTROL_REQUESTS = "control.requests"

ALL_COUNTERS: tuple[str, ...] = (
    REQUESTS,
    ANSWERED,
    CANCELLED,
    SETTLED,
    PARTS_DROPPED,
    CONTROL_REQUESTS,
)


def refusal_counter(reason: RefusalReason) -> str:
    """Return the name of the counter of a refusal reason."""
    return f"refusal.{reason.value}"


def retry_counter(reason: RetryReason) -> str:
    """Return the name of the counter of a retry reason."""
    return f"retry.{reason.value}"


def control_refusal_counter(reason: ControlRefusalReason) -> str:
    """Return the name of the counter of a refusal by the resource API."""
    return f"control.refusal.{reason.value}"
