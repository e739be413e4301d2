"""The command ``host-state``."""

from __future__ import annotations

import argparse

from knapweeddrum.console.command_context import CommandContext
from knapweeddrum.console.commands.command import Command
from knapweeddrum.console.control_client import ControlClient
from knapweeddrum.console.ip_url_argument import ip_url_argument
from knapweeddrum.console.table import Table
from knapweeddrum.message.call.host_state import BudgetRow, EndpointRow, HostState

FACTS = ("FACT", "VALUE")
ENDPOINTS = (
    "ENDPOINT",
    "SERVICE",
    "ADDRESS",
    "DATA CENTRE",
    "CONDITION",
    "IN FLIGHT",
    "LOAD",
)
BUDGETS = (
    "ORGANISATION",
    "PREPAID",
    "CLAIMED",
    "SPENT HERE",
    "RESERVED HERE",
    "FREE HERE",
    "UNOPENED",
    "LENT",
    "BORROWED",
    "IN DOUBT",
)


class HostStateCommand(Command):
    """Show the state of a host's entry process.

    The address is that of its metrics. UNOPENED tokens are locked: claimed by the
    host, but spendable only with the consent of its witness, another entry process.
    IN DOUBT tells whether a claim was written whose outcome is unknown.
    """

    name = "host-state"
    help = "show the state of an entry process"
    examples = (
        "knapweedctl host-state http://10.1.0.40:9464",
        "knapweedctl --output json host-state http://10.1.0.40:9464",
    )

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments."""
        parser.add_argument(
            "address", type=ip_url_argument, help="http://IP:PORT of its metrics"
        )

    def handle(self, args: argparse.Namespace, context: CommandContext) -> None:
        """Show the state."""
        client = ControlClient([args.address], context.timeout, "")
        state = client.request("GET", "/state").decode(HostState)
        context.printer.document(
            state,
            Table(FACTS, _facts(state)),
            Table(ENDPOINTS, tuple(_endpoint(row) for row in state.endpoints)),
            Table(BUDGETS, tuple(_budget(row) for row in state.budgets)),
        )


def _facts(state: HostState) -> tuple[tuple[str, str], ...]:
    return (
        ("host", state.host),
        ("incarnation", state.incarnation),
        ("ready", _yes(state.ready)),
        ("draining", _yes(state.draining)),
        ("requests in progress", str(state.requests_in_progress)),
        ("configuration", _version(state)),
        ("service list read", _ago(state.service_list_age)),
        ("hosts read", _ago(state.hosts_age)),
        ("claims known up to offset", str(state.claims_end)),
        ("ready hosts", ", ".join(state.ready_hosts) or "none"),
    )


def _version(state: HostState) -> str:
    if state.config_version is None:
        return "none"
    return f"version {state.config_version}, read {_ago(state.config_age)}"


def _ago(age: float | None) -> str:
    return "never" if age is None else f"{age:.1f} s ago"


def _yes(is_so: bool) -> str:
    return "yes" if is_so else "no"


def _endpoint(row: EndpointRow) -> tuple[str, ...]:
    return (
        row.endpoint,
        row.service,
        row.address,
        row.data_centre,
        row.condition,
        str(row.in_flight),
        f"{row.load:g}",
    )


def _budget(row: BudgetRow) -> tuple[str, ...]:
    return (
        row.organisation,
        str(row.prepaid),
        str(row.claimed_by_all),
        str(row.spent_here),
        str(row.reserved_here),
        str(row.free_here),
        str(row.unopened_here),
        str(row.lent),
        str(row.borrowed),
        _yes(row.in_doubt),
    )
