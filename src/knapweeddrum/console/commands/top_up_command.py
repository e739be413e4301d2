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

MAX_TOP_UP_TOKENS = 10**15
TOKENS_HELP = f"tokens to deposit, 1 to {MAX_TOP_UP_TOKENS}"


class TopUpCommand(Command):
    """Deposit tokens into a budget; repeats with one identifier deposit once."""

    name = "top-up"
    help = "deposit tokens into a prepaid budget"
    examples = (
        "knapweedctl top-up mill-a/main 500000",
        "knapweedctl top-up mill-a/main 500000 --topup-id invoice-1234",
    )

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments."""
        parser.add_argument("budget", help="organisation/budget")
        parser.add_argument("tokens", type=_tokens, help=TOKENS_HELP)
        parser.add_argument(
            "--topup-id",
            default="",
            help="identifier of the deposit; a repeat with the same one deposits "
            "nothing more. Generated if absent, and printed if the command fails",
        )

    def handle(self, args: argparse.Namespace, context: CommandContext) -> None:
        """Deposit the tokens; the identifier makes the request idempotent."""
        topup_id = args.topup_id or uuid.uuid4().hex
        body = msgspec.json.encode(TopUpBody(topup_id, args.budget, args.tokens))
        try:
            reply = context.client.request("POST", "/v1/top-ups", body)
        except ConsoleError as exc:
            message = f"{exc}\nrepeat with: --topup-id {topup_id}"
            raise ConsoleError(message, exc.exit_code) from exc
        result = reply.decode(TopUpReply)
        context.printer.document(result, _table(result))


def _tokens(text: str) -> int:
    """Return a number of tokens; raises ArgumentTypeError."""
    if text.isascii() and text.isdecimal() and 0 < int(text) <= MAX_TOP_UP_TOKENS:
        return int(text)
    raise argparse.ArgumentTypeError(f"got {text!r}, allowed: {TOKENS_HELP}")


def _table(result: TopUpReply) -> Table:
    row = (
        result.topup_id,
        result.budget,
        str(result.tokens),
        "yes" if result.repeated else "no",
        str(result.balance),
    )
    return Table(("TOP-UP", "BUDGET", "TOKENS", "REPEATED", "BALANCE"), (row,))
