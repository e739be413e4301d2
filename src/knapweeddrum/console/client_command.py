"""Entry point of ``knapweedctl``."""

from __future__ import annotations

import sys

from knapweeddrum.console.application import Application


def main() -> None:
    """Run the command line."""
    sys.exit(Application().run(sys.argv[1:]))
