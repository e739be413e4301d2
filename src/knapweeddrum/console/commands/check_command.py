"""The command ``check``."""

from __future__ import annotations

import argparse
import pathlib

from knapweeddrum.console.command_context import CommandContext
from knapweeddrum.console.commands.command import Command
from knapweeddrum.console.exceptions import ConsoleError
from knapweeddrum.console.exit_code import ExitCode
from knapweeddrum.settings.exceptions import SettingsError
from knapweeddrum.settings.settings_reader import read_settings


class CheckCommand(Command):
    """Check a settings file of the daemons; no server is needed."""

    name = "check"
    help = "check a settings file"
    examples = ("knapweedctl check /etc/knapweeddrum/settings.jsonc",)

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments."""
        parser.add_argument("settings", type=pathlib.Path)

    def handle(self, args: argparse.Namespace, context: CommandContext) -> None:
        """Check the file."""
        try:
            read_settings(args.settings)
        except SettingsError as exc:
            raise ConsoleError(str(exc), ExitCode.USAGE) from exc
        context.printer.line(f"{args.settings}: valid")
