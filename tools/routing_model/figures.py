"""Statistics of the measurements."""

from __future__ import annotations

from collections.abc import Iterable


def percentile(values: Iterable[float], quantile: float) -> float | None:
    """Return the value at ``quantile`` (0 to 1) of the values; None without values."""
    ordered = sorted(values)
    if not ordered:
        return None
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]


def rounded(value: float | None, digits: int = 3) -> float | None:
    """Round a value; None stays None."""
    return None if value is None else round(value, digits)


def fraction(count: float, total: float) -> float:
    """Return ``count / total``, 0 if the total is 0."""
    return round(count / total, 4) if total else 0.0
