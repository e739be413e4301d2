"""The command line ``knapweedctl``."""

from __future__ import annotations

import argparse
import math
import os
import sys
from collections.abc import Sequence

from knapweeddrum.console.command_context import CommandContext
from knapweeddrum.console.commands.apply_command import ApplyCommand
from knapweeddrum.console.commands.budgets_command import BudgetsCommand
from knapweeddrum.console.commands.check_command import CheckCommand
from knapweeddrum.console.commands.check_config_command import (
    CheckConfigCommand,
)
from knapweeddrum.console.commands.clear_crashes_command import ClearCrashesCommand
from knapweeddrum.console.commands.command import Command
from knapweeddrum.console.commands.delete_command import DeleteCommand
from knapweeddrum.console.commands.drain_command import DrainCommand
from knapweeddrum.console.commands.entry_command import EntryCommand
from knapweeddrum.console.commands.follow_command import FollowCommand
from knapweeddrum.console.commands.get_command import GetCommand
from knapweeddrum.console.commands.host_state_command import HostStateCommand
from knapweeddrum.console.commands.status_command import StatusCommand
from knapweeddrum.console.commands.top_up_command import TopUpCommand
from knapweeddrum.console.commands.watch_command import WatchCommand
from knapweeddrum.console.control_client import ControlClient
from knapweeddrum.console.exceptions import ConsoleError
from knapweeddrum.console.exit_code import ExitCode
from knapweeddrum.console.ip_url_argument import ip_url_argument
from knapweeddrum.console.output_format import OutputFormat
from knapweeddrum.console.printer import Printer
from knapweeddrum.value.ip_url import IP_URL_FORM, check_ip_url

PROGRAM = "knapweedctl"
SERVER_VARIABLE = "KNAPWEED_SERVER"
TOKEN_VARIABLE = "KNAPWEED_TOKEN"
DEFAULT_SERVER = "http://127.0.0.1:8082"
DEFAULT_REQUEST_TIMEOUT_SECONDS = 20.0

COMMANDS: tuple[Command, ...] = (
    ApplyCommand(),
    GetCommand(),
    DeleteCommand(),
    WatchCommand(),
    TopUpCommand(),
    BudgetsCommand(),
    StatusCommand(),
    EntryCommand(),
    DrainCommand(),
    CheckCommand(),
    HostStateCommand(),
    ClearCrashesCommand(),
    CheckConfigCommand(),
    FollowCommand(),
)

EPILOG = f"""\
exit codes:
  0  done
  1  failed
  2  wrong usage, or a file that can't be used
  3  conflict: another change was applied first; review it and try again
  4  unavailable: not applied, try again later
  5  not found
  6  invalid: the server names the field, its value and what is allowed
  7  unknown: may have been applied; repeat with the same identifier

environment:
  {SERVER_VARIABLE}  control servers, separated by commas, if --server is absent
  {TOKEN_VARIABLE}   the operators' access token, if the fleet requires one

examples:
"""


class Application:
    """Parses the arguments and runs one command."""

    def run(self, argv: Sequence[str]) -> int:
        """Run a command line and return its exit code."""
        args = self._parser().parse_args(argv)
        command: Command = args.command
        try:
            command.handle(args, _command_context(args))
        except ConsoleError as exc:
            print(f"{PROGRAM}: {exc}", file=sys.stderr)
            return exc.exit_code
        except KeyboardInterrupt:
            return ExitCode.OK
        return ExitCode.OK

    def _parser(self) -> argparse.ArgumentParser:
        examples = [line for command in COMMANDS for line in command.examples]
        parser = argparse.ArgumentParser(
            prog=PROGRAM,
            description="Operate a knapweeddrum fleet: declare resources, watch them "
            "take effect, top up budgets.",
            epilog=EPILOG + "".join(f"  {line}\n" for line in examples),
            formatter_class=argparse.RawDescriptionHelpFormatter,
        )
        _add_common_options(parser)
        subparsers = parser.add_subparsers(metavar="COMMAND", required=True)
        for command in COMMANDS:
            _add_command(subparsers, command)
        return parser


def _add_common_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--server",
        action="append",
        type=ip_url_argument,
        metavar="http://IP:PORT",
        help="URL of a control process; repeatable: if a server can't be reached, the "
        f"next is tried (default: {SERVER_VARIABLE}, else {DEFAULT_SERVER})",
    )
    parser.add_argument(
        "--output",
        type=OutputFormat,
        choices=list(OutputFormat),
        default=OutputFormat.TABLE,
        help="table for people (default), json for programs",
    )
    parser.add_argument(
        "--timeout",
        type=_positive_seconds,
        default=DEFAULT_REQUEST_TIMEOUT_SECONDS,
        metavar="SECONDS",
        help=f"limit for each attempt (default: {DEFAULT_REQUEST_TIMEOUT_SECONDS:g})",
    )
    parser.add_argument(
        "--author",
        default=os.environ.get("USER", ""),
        help="author recorded with each change (default: environment variable USER)",
    )


def _add_command(
    subparsers: "argparse._SubParsersAction[argparse.ArgumentParser]",
    command: Command,
) -> None:
    parser = subparsers.add_parser(
        command.name,
        help=command.help,
        description=command.__doc__,
        epilog="examples:\n" + "".join(f"  {line}\n" for line in command.examples),
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    command.configure(parser)
    parser.set_defaults(command=command)


def _command_context(args: argparse.Namespace) -> CommandContext:
    servers = args.server or _default_servers()
    token = os.environ.get(TOKEN_VARIABLE, "").strip()
    client = ControlClient(servers, args.timeout, token)
    return CommandContext(
        client, Printer(sys.stdout, args.output), args.author, args.timeout
    )


def _default_servers() -> list[str]:
    """Return the servers of the environment or the default; raises ConsoleError."""
    text = os.environ.get(SERVER_VARIABLE, DEFAULT_SERVER)
    try:
        return [check_ip_url(part.strip()) for part in text.split(",")]
    except ValueError as exc:
        message = f"{SERVER_VARIABLE}: got {text!r}, allowed: {IP_URL_FORM}"
        raise ConsoleError(message, ExitCode.USAGE) from exc


def _positive_seconds(text: str) -> float:
    """Return the seconds; raises ArgumentTypeError unless positive and finite."""
    message = f"got {text!r}, allowed: seconds, more than 0"
    try:
        seconds = float(text)
    except ValueError as exc:
        raise argparse.ArgumentTypeError(message) from exc
    if not 0 < seconds < math.inf:
        raise argparse.ArgumentTypeError(message)
    return seconds
