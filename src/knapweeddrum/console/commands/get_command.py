"""The command ``get``."""

from __future__ import annotations

import argparse

from knapweeddrum.console.command_context import CommandContext
from knapweeddrum.console.commands.command import Command
from knapweeddrum.console.paths import resource_path, with_parameters
from knapweeddrum.console.resource_list_reply import ResourceListReply
from knapweeddrum.console.resource_reply import ResourceReply, resource_table
from knapweeddrum.value.resource_kind import ResourceKind


class GetCommand(Command):
    """Show one resource, or all of a kind."""

    name = "get"
    help = "show a resource, or all of a kind"
    examples = (
        "knapweedctl get budget mill-a/main",
        "knapweedctl get budget --prefix mill-a/",
        "knapweedctl --output json get route",
    )

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments."""
        parser.add_argument("kind", choices=[kind.value for kind in ResourceKind])
        parser.add_argument("name", nargs="?", default="")
        parser.add_argument(
            "--prefix",
            default="",
            help="without a name: show only names with this prefix",
        )

    def handle(self, args: argparse.Namespace, context: CommandContext) -> None:
        """Show the resources."""
        if args.name:
            reply = context.client.request("GET", resource_path(args.kind, args.name))
            resource = reply.decode(ResourceReply)
            context.printer.document(resource, resource_table((resource,)))
            return
        path = with_parameters(f"/v1/resources/{args.kind}", prefix=args.prefix)
        listed = context.client.request("GET", path).decode(ResourceListReply)
        context.printer.document(listed, resource_table(listed.resources))
