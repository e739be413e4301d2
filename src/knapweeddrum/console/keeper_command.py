"""Entry point of ``knapweed-keeper``."""

from __future__ import annotations

import sys

from knapweeddrum.console.daemon_command import DaemonCommand
from knapweeddrum.process.composition import run_keeper


class KeeperCommand(DaemonCommand):
    """Run the keeper of a host, which keeps budgets, claims and the configuration."""

    name = "knapweed-keeper"
    description = "Run the keeper of a knapweeddrum host."
    run_daemon = staticmethod(run_keeper)


def main() -> None:
    """Run the command line."""
    sys.exit(KeeperCommand().run(sys.argv[1:]))
