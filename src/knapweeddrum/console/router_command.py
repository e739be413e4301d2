"""Entry point of ``knapweed-router``."""

from __future__ import annotations

import sys

from knapweeddrum.console.daemon_command import DaemonCommand
from knapweeddrum.process.composition import run_router


class RouterCommand(DaemonCommand):
    """Run the router of a host, which forwards callers' requests to endpoints."""

    name = "knapweed-router"
    description = "Run the router of a knapweeddrum host."
    run_daemon = staticmethod(run_router)


def main() -> None:
    """Run the command line."""
    sys.exit(RouterCommand().run(sys.argv[1:]))
