"""The command ``watch``."""

from __future__ import annotations

import argparse
import time

from knapweeddrum.console.command_context import CommandContext
from knapweeddrum.console.commands.command import Command
from knapweeddrum.console.event_parser import EventParser
from knapweeddrum.console.exceptions import ConsoleError, ServerUnreachableError
from knapweeddrum.console.exit_code import ExitCode
from knapweeddrum.console.paths import with_parameters
from knapweeddrum.console.stream_event import StreamEvent
from knapweeddrum.value.resource_kind import ResourceKind

RECONNECT_DELAY_SECONDS = 1.0
END_EVENT = "end"


class WatchCommand(Command):
    """Show each change of the configuration once, in order, until interrupted.

    A stream that ends is resumed, at another server if necessary. Each event is
    written as a line of its name and its JSON document. If the changes after the
    given offset are no longer kept one by one, a snapshot comes first.
    """

    name = "watch"
    help = "show changes of the configuration as they happen"
    examples = (
        "knapweedctl watch",
        "knapweedctl watch --after 120 --kind route",
    )

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments."""
        parser.add_argument(
            "--after", default="", help="log offset to resume from (default: all)"
        )
        parser.add_argument("--kind", choices=[kind.value for kind in ResourceKind])
        parser.add_argument(
            "--once",
            action="store_true",
            help="stop at the end of the first stream instead of resuming it",
        )

    def handle(self, args: argparse.Namespace, context: CommandContext) -> None:
        """Write events until interrupted."""
        parser = EventParser(args.after)
        path = with_parameters("/v1/watch", kind=args.kind or "")
        while True:
            try:
                self._follow(path, parser, context)
            except ServerUnreachableError:
                if args.once:
                    raise
            except ConsoleError as exc:
                if args.once or exc.exit_code is not ExitCode.UNAVAILABLE:
                    raise
            if args.once:
                return
            time.sleep(RECONNECT_DELAY_SECONDS)
            parser = EventParser(parser.last_id)

    def _follow(self, path: str, parser: EventParser, context: CommandContext) -> None:
        """Write the events of one stream."""
        with context.client.stream(path, parser.last_id) as chunks:
            for chunk in chunks:
                for event in parser.feed(chunk):
                    _write(event, context)


def _write(event: StreamEvent, context: CommandContext) -> None:
    if event.name != END_EVENT:
        context.printer.line(f"{event.name} {event.data.decode()}")
