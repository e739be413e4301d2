"""The command ``drain``."""

from __future__ import annotations

import argparse

import msgspec

from knapweeddrum.console.command_context import CommandContext
from knapweeddrum.console.commands.command import Command
from knapweeddrum.console.drain_reply import DrainBody, DrainReply
from knapweeddrum.console.paths import host_drain_path
from knapweeddrum.console.table import Table


class DrainCommand(Command):
    """Stop sending callers to a host; SIGTERM to its router completes the drain."""

    name = "drain"
    help = "start or end the drain of a host"
    examples = ("knapweedctl drain entry-3", "knapweedctl drain entry-3 --end")

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments."""
        parser.add_argument("host", help="name of the host in its settings")
        parser.add_argument(
            "--end", action="store_true", help="end the drain: the host serves again"
        )

    def handle(self, args: argparse.Namespace, context: CommandContext) -> None:
        """Start or end the drain; repeating the request changes nothing."""
        body = msgspec.json.encode(DrainBody(draining=not args.end))
        reply = context.client.request("POST", host_drain_path(args.host), body)
        result = reply.decode(DrainReply)
        draining = "yes" if result.draining else "no"
        table = Table(("HOST", "DRAINING"), ((result.host, draining),))
        context.printer.document(result, table)
