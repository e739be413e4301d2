"""The command ``clear-crashes``."""

from __future__ import annotations

import argparse

import msgspec

from knapweeddrum.console.command_context import CommandContext
from knapweeddrum.console.commands.command import Command
from knapweeddrum.console.control_client import ControlClient
from knapweeddrum.console.ip_url_argument import ip_url_argument
from knapweeddrum.console.table import Table
from knapweeddrum.message.call.crash_exchange import (
    CrashClearance,
    CrashClearanceReply,
)

HEADING = ("FINGERPRINT", "CLEARED")


class ClearCrashesCommand(Command):
    """Let a request, or a part of prompts, run again under which endpoints crashed.

    The address is the one at which an entry process serves its metrics; the process
    tells the other hosts. ``host-state`` lists the fingerprints. CLEARED is "no" if
    no crash counted against the request at this host.
    """

    name = "clear-crashes"
    help = "let a request run again that endpoints crashed under"
    examples = ("knapweedctl clear-crashes http://10.1.0.40:9464 3f2a",)

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments."""
        parser.add_argument(
            "address", type=ip_url_argument, help="http://IP:PORT of its metrics"
        )
        parser.add_argument("fingerprint", help="fingerprint of a request, or part:ID")

    def handle(self, args: argparse.Namespace, context: CommandContext) -> None:
        """Clear the crashes of one request."""
        client = ControlClient([args.address], context.timeout, "")
        body = msgspec.json.encode(CrashClearance(args.fingerprint))
        reply = client.request("POST", "/crash-records/clear", body).decode(
            CrashClearanceReply
        )
        cleared = "yes" if reply.cleared else "no"
        context.printer.document(reply, Table(HEADING, ((args.fingerprint, cleared),)))
