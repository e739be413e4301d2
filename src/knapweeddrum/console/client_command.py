"""Entry point of ``knapweedctl``."""

from __future__ import annotations


def main() -> None:
    """Run the command line."""
    raise SystemExit("not built yet")
