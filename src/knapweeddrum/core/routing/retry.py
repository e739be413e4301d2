"""The decision to attempt a request again."""

from __future__ import annotations

import dataclasses

from knapweeddrum.value.retry_reason import RetryReason


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Attempt again after ``delay`` seconds; ``reason`` selects the metrics counter."""

    reason: RetryReason
    delay: float
