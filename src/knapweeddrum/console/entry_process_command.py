"""Entry point of ``knapweed-entry``."""

from __future__ import annotations

import argparse
import functools
import os
import pathlib
import sys

import anyio

from knapweeddrum.console.exit_code import ExitCode
from knapweeddrum.platform.exceptions import SettingsFileError
from knapweeddrum.platform.settings_file import SETTINGS_VARIABLE, read_settings_file
from knapweeddrum.process.entry_composition import run_entry

PROGRAM = "knapweed-entry"
LOG_LEVELS = ("debug", "info", "warning", "error")


def main(argv: list[str] | None = None) -> int:
    """Run the command line and return its exit code."""
    args = _parser().parse_args(argv)
    path = args.settings
    if path is None:
        print(f"{PROGRAM}: no settings file: pass one, or set {SETTINGS_VARIABLE}")
        return ExitCode.USAGE
    try:
        settings = read_settings_file(path)
    except SettingsFileError as exc:
        print(f"{PROGRAM}: {exc}", file=sys.stderr)
        return ExitCode.USAGE
    if args.check:
        print(f"{path}: valid")
        return ExitCode.OK
    run = functools.partial(
        run_entry, settings, path, args.log_level, args.metrics_port
    )
    anyio.run(run)
    return ExitCode.OK


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog=PROGRAM, description="Run the entry process of a knapweeddrum host."
    )
    default = os.environ.get(SETTINGS_VARIABLE)
    parser.add_argument(
        "settings",
        nargs="?",
        type=pathlib.Path,
        default=pathlib.Path(default) if default else None,
        help=f"settings file of the platform (default: variable {SETTINGS_VARIABLE})",
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings file and exit"
    )
    parser.add_argument("--log-level", choices=LOG_LEVELS, default="info")
    parser.add_argument(
        "--metrics-port",
        type=int,
        default=0,
        help="port that serves the metrics; 0 disables it (default)",
    )
    return parser


if __name__ == "__main__":
    sys.exit(main())
