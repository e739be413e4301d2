"""A line of measured figures."""

from __future__ import annotations

import dataclasses
import json


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Figures by name of one run; ``way`` names the strategy."""

    scenario: str
    way: str
    seed: int
    figures: dict[str, float | None]


def print_row(row: Row) -> None:
    """Print a row as one JSON line."""
    line = {"scenario": row.scenario, "way": row.way, "seed": row.seed, **row.figures}
    print(json.dumps(line), flush=True)
