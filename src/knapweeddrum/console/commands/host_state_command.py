"""The command ``host-state``."""

from __future__ import annotations

import argparse

from knapweeddrum.console.command_context import CommandContext
from knapweeddrum.console.commands.command import Command
from knapweeddrum.console.control_client import ControlClient
from knapweeddrum.console.ip_url_argument import ip_url_argument
from knapweeddrum.console.table import Table
from knapweeddrum.message.call.host_state import (
    BudgetRow,
    CrashRow,
    EmptiedRow,
    EndpointRow,
    HostState,
)

PROPERTIES_HEADING = ("FACT", "VALUE")
ENDPOINTS_HEADING = (
    "ENDPOINT",
    "SERVICE",
    "ADDRESS",
    "DATA CENTRE",
    "CONDITION",
    "IN FLIGHT",
    "LOAD",
    "LIMIT",
    "COLD",
    "WORK TIME",
    "TOKENS/S",
    "QUEUED",
    "TAKES",
    "UNREACHED",
    "WAY",
)
BUDGETS_HEADING = (
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
CRASHES_HEADING = ("FINGERPRINT", "CRASHES", "REFUSED", "LAST")


class HostStateCommand(Command):
    """Show the state of a host's entry process.

    The address is the one at which the process serves its metrics. COLD tells for how
    long an endpoint still takes few requests a second, or that its next entry is to
    tell. Emptied data centres are shown with when this host learnt of them. Hosts claim
    prepaid tokens, that is, set them aside for themselves; CLAIMED counts those of all
    hosts.
    UNOPENED tokens are claimed by this host but locked: spendable only with the consent
    of its witness, another entry process. LENT and BORROWED are tokens lent to and
    borrowed from other hosts. IN DOUBT tells whether this host wrote a claim and does
    not know if it was stored. The last table has the requests under which endpoints
    crashed; those that are REFUSED are not run.
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
            Table(PROPERTIES_HEADING, _property_rows(state)),
            Table(
                ENDPOINTS_HEADING, tuple(_endpoint_row(row) for row in state.endpoints)
            ),
            Table(BUDGETS_HEADING, tuple(_budget_row(row) for row in state.budgets)),
            Table(CRASHES_HEADING, tuple(_crash_row(row) for row in state.crashes)),
        )


def _property_rows(state: HostState) -> tuple[tuple[str, str], ...]:
    return (
        ("host", state.host),
        ("incarnation", state.incarnation),
        ("ready", _yes_or_no(state.ready)),
        ("draining", _yes_or_no(state.draining)),
        ("requests in progress", str(state.requests_in_progress)),
        ("configuration", _version_text(state)),
        ("service list read", _age_text(state.service_list_age)),
        ("hosts read", _age_text(state.hosts_age)),
        ("claims known up to offset", str(state.claims_end)),
        ("store era", str(state.store_era) if state.store_era else "not told"),
        ("claims", _claims_text(state)),
        ("emptied data centres", _emptied_text(state.emptied)),
        ("ready hosts", ", ".join(state.ready_hosts) or "none"),
        ("working set", ", ".join(state.working_set) or "none"),
        (
            "requests per second",
            f"{state.request_rate:.1f}, carries {state.capacity:.0f}",
        ),
        ("link, incoming", _link_text(state)),
        ("paths to endpoints", _paths_text(state)),
        ("held for clients", _held_text(state)),
        ("connections", _connections_text(state)),
    )


def _held_text(state: HostState) -> str:
    now, most, limit = (
        f"{count / 1e6:.1f}"
        for count in (
            state.client_bytes,
            state.most_client_bytes,
            state.client_bytes_limit,
        )
    )
    return f"{now} MB of {limit} MB, at most {most} MB"


def _connections_text(state: HostState) -> str:
    return (
        f"callers {state.caller_connections} of {state.caller_connections_limit}, "
        f"pages {state.page_connections} of {state.page_connections_limit}, "
        f"refused {state.refused_connections}"
    )


def _version_text(state: HostState) -> str:
    if state.config_version is None:
        return "none"
    return f"version {state.config_version}, read {_age_text(state.config_age)}"


def _link_text(state: HostState) -> str:
    used = f"{state.link_use:.0%} used, {state.link_behind:.2f} s behind"
    if state.sheds_for is None:
        return used
    return f"{used}, sheds connections for {state.sheds_for:.1f} s"


def _paths_text(state: HostState) -> str:
    lost = f"{state.paths_lost} lost"
    if state.cut_off:
        lost = f"cut off, {lost}"
    return f"{lost}, {state.tunnel_sockets // 2} tunnels for other hosts"


def _claims_text(state: HostState) -> str:
    if state.claims_open:
        return "open"
    return f"suspended, missing: {', '.join(state.missing_hosts) or 'none'}"


def _age_text(age: float | None) -> str:
    return "never" if age is None else f"{age:.1f} s ago"


def _yes_or_no(is_so: bool) -> str:
    return "yes" if is_so else "no"


def _endpoint_row(row: EndpointRow) -> tuple[str, ...]:
    return (
        row.endpoint,
        row.service,
        row.address,
        row.data_centre,
        row.condition,
        str(row.in_flight),
        f"{row.load:g}",
        "none" if row.limit is None else f"{row.limit:g}/s",
        _cold_text(row.cold_left),
        "not told" if row.work_time is None else f"{row.work_time:.2f}",
        "unknown" if row.prefill_speed is None else f"{row.prefill_speed:.0f}",
        f"{row.queued:.2f} s",
        "any" if row.learned_limit is None else f"{row.learned_limit:g}",
        "no" if row.unreached_for is None else f"{row.unreached_for:.1f} s",
        "other hosts" if row.path_lost else "direct",
    )


def _cold_text(left: float | None) -> str:
    if left is None:
        return "no"
    return f"{left:.1f} s" if left else "until told"


def _emptied_text(rows: list[EmptiedRow]) -> str:
    texts = [f"{row.data_centre} ({_age_text(row.age)})" for row in rows]
    return ", ".join(texts) or "none"


def _budget_row(row: BudgetRow) -> tuple[str, ...]:
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
        _yes_or_no(row.in_doubt),
    )


def _crash_row(row: CrashRow) -> tuple[str, ...]:
    return (
        row.fingerprint,
        str(row.crashes),
        _yes_or_no(row.blamed),
        _age_text(row.age),
    )
