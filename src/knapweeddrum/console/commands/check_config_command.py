"""The command ``check-config``."""

from __future__ import annotations

import argparse
import pathlib

from knapweeddrum.console.command_context import CommandContext
from knapweeddrum.console.commands.command import Command
from knapweeddrum.console.configuration_fault_reply import ConfigurationFaultReply
from knapweeddrum.console.exceptions import ConsoleError
from knapweeddrum.console.exit_code import ExitCode
from knapweeddrum.console.table import Table
from knapweeddrum.platform.configuration_check import check_configuration


class CheckConfigCommand(Command):
    """Check a configuration of the entry processes before it is written to the store.

    The store is the one of the platform, from which the entry processes read it. The
    check runs locally; neither store nor servers are needed.
    """

    name = "check-config"
    help = "check a configuration file of the entry processes"
    examples = ("knapweedctl check-config configuration.json",)

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments."""
        parser.add_argument("file", type=pathlib.Path)

    def handle(self, args: argparse.Namespace, context: CommandContext) -> None:
        """Show each fault with its line; raises ConsoleError if there is one."""
        try:
            body = args.file.read_bytes()
        except OSError as exc:
            raise ConsoleError(str(exc), ExitCode.USAGE) from exc
        faults = check_configuration(body)
        if not faults:
            context.printer.line(f"{args.file}: valid")
            return
        replies = [
            ConfigurationFaultReply(str(args.file), fault.line, fault.message)
            for fault in faults
        ]
        rows = tuple((str(reply.line), reply.message) for reply in replies)
        context.printer.documents(replies, Table(("LINE", "FAULT"), rows))
        raise ConsoleError(f"{args.file}: {len(faults)} faults", ExitCode.INVALID)
