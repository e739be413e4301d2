"""Common command line of router, keeper and control process."""

from __future__ import annotations

import abc
import argparse
import pathlib
import sys
from collections.abc import Awaitable, Callable
from typing import ClassVar

import anyio

from knapweeddrum.console.exit_code import ExitCode
from knapweeddrum.settings.exceptions import SettingsError
from knapweeddrum.settings.settings import Settings
from knapweeddrum.settings.settings_reader import read_settings


class DaemonCommand(abc.ABC):
    """A daemon that reads one settings file and runs until it is stopped."""

    name: ClassVar[str]
    description: ClassVar[str]
    run_daemon: Callable[[Settings], Awaitable[None]]

    def run(self, argv: list[str]) -> int:
        """Run with the given arguments and return the exit code."""
        args = self._parser().parse_args(argv)
        try:
            settings = read_settings(args.settings)
        except SettingsError as exc:
            print(exc, file=sys.stderr)
            return ExitCode.USAGE
        if args.check:
            print(f"{args.settings}: valid")
            return ExitCode.OK
        anyio.run(self.run_daemon, settings)
        return ExitCode.OK

    def _parser(self) -> argparse.ArgumentParser:
        parser = argparse.ArgumentParser(prog=self.name, description=self.description)
        parser.add_argument(
            "settings", type=pathlib.Path, help="settings file: JSON with comments"
        )
        parser.add_argument(
            "--check", action="store_true", help="check the settings file and exit"
        )
        return parser
