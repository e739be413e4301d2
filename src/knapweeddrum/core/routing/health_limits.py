"""Limits for the ejection and readmission of an endpoint."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class HealthLimits:
    """Limits at which an endpoint is ejected and readmitted."""

    consecutive_failures: int = 5
    """Failures in a row that eject an endpoint."""
    error_rate: float = 0.5
    """Moving average of the error rate, 0 to 1, that ejects an endpoint."""
    error_rate_samples: int = 20
    """Results needed before the error rate counts."""
    error_rate_weight: float = 0.05
    """Weight of the newest result in the moving error rate."""
    base_ejection_seconds: float = 2.0
    """Duration of the first ejection; it doubles with each further one."""
    max_ejection_seconds: float = 60.0
    """Greatest duration of an ejection."""
    probe_successes: int = 3
    """Successful probes in a row that readmit an endpoint."""
