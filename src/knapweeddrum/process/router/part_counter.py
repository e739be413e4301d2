"""Counters of the parts of answers."""

from __future__ import annotations

from knapweeddrum.core.billing.part_verdict import PartVerdict


def part_counter(verdict: PartVerdict) -> str:
    """Return the name of the counter of a verdict on a part."""
    return f"part.{verdict.value}"
