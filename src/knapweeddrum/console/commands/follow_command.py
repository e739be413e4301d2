"""The command ``follow``."""

from __future__ import annotations

import argparse
import json
import pathlib
from collections.abc import Iterable, Iterator

from knapweeddrum.console.command_context import CommandContext
from knapweeddrum.console.commands.command import Command
from knapweeddrum.console.exceptions import ConsoleError
from knapweeddrum.console.exit_code import ExitCode
from knapweeddrum.console.log_line import LogLine
from knapweeddrum.console.output_format import OutputFormat
from knapweeddrum.console.table import Table

HEADING = ("TIME", "HOST", "EVENT", "DETAILS")


class FollowCommand(Command):
    """Show the log lines of several hosts about one request.

    Lines are sorted by their timestamps; the clocks of the hosts may differ.
    """

    name = "follow"
    help = "show the log lines of several hosts about one request"
    examples = ("knapweedctl follow 9c41d07be2a35f68 host-1.log host-2.log",)

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments."""
        parser.add_argument("request", help="identifier of the request")
        parser.add_argument("logs", nargs="+", type=pathlib.Path, help="log files")

    def handle(self, args: argparse.Namespace, context: CommandContext) -> None:
        """Show the lines by time; raises ConsoleError if there are none."""
        lines = [line for line in _lines(args.logs) if line.is_about(args.request)]
        if not lines:
            message = f"no log line about the request {args.request}"
            raise ConsoleError(message, ExitCode.NOT_FOUND)
        lines.sort(key=lambda line: line.timestamp)
        if args.output is OutputFormat.JSON:
            for line in lines:
                context.printer.line(json.dumps(line.fields))
            return
        rows = tuple(
            (line.timestamp, line.host, line.event, line.details()) for line in lines
        )
        context.printer.documents((), Table(HEADING, rows))


def _lines(paths: Iterable[pathlib.Path]) -> Iterator[LogLine]:
    """Yield the log lines of all files; raises ConsoleError for an unreadable file."""
    for path in paths:
        try:
            with path.open(encoding="utf-8", errors="replace") as file:
                for text in file:
                    line = LogLine.parse(text)
                    if line is not None:
                        yield line
        except OSError as exc:
            raise ConsoleError(str(exc), ExitCode.USAGE) from exc
