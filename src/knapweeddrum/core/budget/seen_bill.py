"""A bill that the fold has counted."""

from __future__ import annotations

import msgspec


class SeenBill(msgspec.Struct, frozen=True, array_like=True):
    """Run, settler and the cumulative figure (tokens) that it reported for the run."""

    run_id: str
    settler: str
    figure: int
