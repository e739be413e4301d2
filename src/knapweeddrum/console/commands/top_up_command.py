"""The command ``top-up``."""

from __future__ import annotations

import argparse
import uuid

import msgspec

from knapweeddrum.console.command_context import CommandContext
from knapweeddrum.console.commands.command import Command
from knapweeddrum.console.exceptions import ConsoleError
from knapweeddrum.console.table import Table
from knapweeddrum.console.top_up_reply import TopUpBody, TopUpReply


class TopUpCommand(Command):
    """Deposit tokens into a budget, once for each identifier."""

    name = "top-up"
    help = "deposit tokens into a prepaid budget"
    examples = (
        "knapweedctl top-up mill-a/main 500000",
        "knapweedctl top-up mill-a/main 500000 --topup-id invoice-1234",
    )

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments."""
        parser.add_argument("budget", help="organisation/budget")
        parser.add_argument("tokens", type=int)
        parser.add_argument(
            "--topup-id",
            default="",
            help="identifier of the deposit; a repeat with the same one deposits "
            "nothing more. Minted when absent, and named when the command fails",
        )

    def handle(self, args: argparse.Namespace, context: CommandContext) -> None:
        """Deposit; the identifier makes every repeat harmless."""
        topup_id = args.topup_id or uuid.uuid4().hex
        body = msgspec.json.encode(TopUpBody(topup_id, args.budget, args.tokens))
        try:
            reply = context.client.request("POST", "/v1/top-ups", body)
        except ConsoleError as exc:
            message = f"{exc}\nrepeat with: --topup-id {topup_id}"
            raise ConsoleError(message, exc.exit_code) from exc
        result = reply.decode(TopUpReply)
        context.printer.document(result, _table(result))


def _table(result: TopUpReply) -> Table:
    row = (
        result.topup_id,
        result.budget,
        str(result.tokens),
        "yes" if result.repeated else "no",
        str(result.balance),
    )
    return Table(("TOP-UP", "BUDGET", "TOKENS", "REPEATED", "BALANCE"), (row,))
