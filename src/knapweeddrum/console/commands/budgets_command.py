"""The command ``budgets``."""

from __future__ import annotations

import argparse

from knapweeddrum.console.command_context import CommandContext
from knapweeddrum.console.commands.command import Command
from knapweeddrum.console.paths import with_parameters
from knapweeddrum.console.table import Table
from knapweeddrum.message.call.budget_reply import BudgetReply
from knapweeddrum.message.call.budget_status import BudgetStatus

HEADING = (
    "BUDGET",
    "DEPOSITED",
    "BALANCE",
    "HELD",
    "STRANDED",
    "BILLED",
    "DUPLICATE",
    "BILLS",
)


class BudgetsCommand(Command):
    """Show the token totals of each budget.

    HELD tokens are granted to keepers; those of keepers that have failed are also
    counted as STRANDED.
    """

    name = "budgets"
    help = "show the token totals of budgets"
    examples = ("knapweedctl budgets", "knapweedctl budgets mill-a/")

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments."""
        parser.add_argument(
            "prefix", nargs="?", default="", help="show only names with this prefix"
        )

    def handle(self, args: argparse.Namespace, context: CommandContext) -> None:
        """Show the budgets."""
        path = with_parameters("/v1/budgets", prefix=args.prefix)
        reply = context.client.request("GET", path).decode(BudgetReply)
        rows = tuple(_row(status) for status in reply.budgets)
        context.printer.document(reply, Table(HEADING, rows))


def _row(status: BudgetStatus) -> tuple[str, ...]:
    return (
        status.budget,
        str(status.deposited),
        str(status.balance),
        str(status.held),
        str(status.stranded),
        str(status.billed),
        str(status.duplicate),
        str(status.bills),
    )
