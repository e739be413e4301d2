"""The command ``status``."""

from __future__ import annotations

import argparse

from knapweeddrum.console.command_context import CommandContext
from knapweeddrum.console.commands.command import Command
from knapweeddrum.console.host_status_reply import HostStatusReply
from knapweeddrum.console.status_reply import StatusReply
from knapweeddrum.console.table import Table

HEADING = ("HOST", "DATA CENTRE", "ALIVE", "DRAINING", "OFFSET IN FORCE", "LAG")


class StatusCommand(Command):
    """Show which configuration is in force at each host."""

    name = "status"
    help = "show which configuration is in force at each host"
    examples = ("knapweedctl status",)

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add no arguments."""

    def handle(self, args: argparse.Namespace, context: CommandContext) -> None:
        """Show the status."""
        status = context.client.request("GET", "/v1/status").decode(StatusReply)
        rows = tuple(_row(host) for host in status.hosts)
        context.printer.document(status, Table(HEADING, rows))


def _row(host: HostStatusReply) -> tuple[str, ...]:
    return (
        host.host,
        host.data_centre,
        "yes" if host.alive else "no",
        "yes" if host.draining else "no",
        str(host.config_offset),
        str(host.lag),
    )
