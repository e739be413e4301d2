"""Figures of the measurements."""

from __future__ import annotations

from collections.abc import Iterable


def percentile(values: Iterable[float], share: float) -> float | None:
    """Return the value below which ``share`` of the values lie, or None."""
    ordered = sorted(values)
    if not ordered:
        return None
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def rounded(value: float | None, digits: int = 3) -> float | None:
    """Return a rounded figure."""
    return None if value is None else round(value, digits)


def part(count: float, total: float) -> float:
    """Return a share of a total, 0 when there is none."""
    return round(count / total, 4) if total else 0.0
