"""The command ``entry``."""

from __future__ import annotations

import argparse

from knapweeddrum.console.command_context import CommandContext
from knapweeddrum.console.commands.command import Command
from knapweeddrum.console.table import Table
from knapweeddrum.message.call.entry_host import EntryHost
from knapweeddrum.message.call.entry_reply import EntryReply

HEADING = ("HOST", "DATA CENTRE", "ROUTER", "ALIVE", "DRAINING")


class EntryCommand(Command):
    """Show the entry hosts and the addresses of their routers."""

    name = "entry"
    help = "show the entry hosts and the addresses of their routers"
    examples = ("knapweedctl entry",)

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add no arguments."""

    def handle(self, args: argparse.Namespace, context: CommandContext) -> None:
        """Show the hosts."""
        reply = context.client.request("GET", "/v1/entry").decode(EntryReply)
        rows = tuple(_row(host) for host in reply.hosts)
        context.printer.document(reply, Table(HEADING, rows))


def _row(host: EntryHost) -> tuple[str, ...]:
    router = f"{host.address}:{host.router_port}"
    alive = "yes" if host.alive else "no"
    draining = "yes" if host.draining else "no"
    return (host.host, host.data_centre, router, alive, draining)
