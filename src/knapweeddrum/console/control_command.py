"""Entry point of ``knapweed-control``."""

from __future__ import annotations

import sys

from knapweeddrum.console.daemon_command import DaemonCommand
from knapweeddrum.process.composition import run_control


class ControlCommand(DaemonCommand):
    """Run the control process of a host, which serves the resource API."""

    name = "knapweed-control"
    description = "Run the control process of a knapweeddrum host."
    run_daemon = staticmethod(run_control)


def main() -> None:
    """Run the command line."""
    sys.exit(ControlCommand().run(sys.argv[1:]))
