"""The command ``delete``."""

from __future__ import annotations

import argparse
import uuid

from knapweeddrum.console.command_context import CommandContext
from knapweeddrum.console.commands.command import Command
from knapweeddrum.console.paths import resource_path, with_parameters
from knapweeddrum.console.resource_reply import ResourceReply, resource_table
from knapweeddrum.value.resource_kind import ResourceKind


class DeleteCommand(Command):
    """Delete a resource that no other resource refers to."""

    name = "delete"
    help = "delete a resource"
    examples = (
        "knapweedctl delete route tender-desk",
        "knapweedctl delete route tender-desk --base-version 4",
    )

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments."""
        parser.add_argument("kind", choices=[kind.value for kind in ResourceKind])
        parser.add_argument("name")
        parser.add_argument(
            "--base-version",
            type=int,
            help="version to delete; without it the current version is read first",
        )

    def handle(self, args: argparse.Namespace, context: CommandContext) -> None:
        """Delete the resource."""
        path = resource_path(args.kind, args.name)
        version = args.base_version
        if version is None:
            current = context.client.request("GET", path).decode(ResourceReply)
            version = current.version
        reply = context.client.request(
            "DELETE",
            with_parameters(path, version=str(version)),
            change_id=uuid.uuid4().hex,
            author=context.author,
        )
        deleted = reply.decode(ResourceReply)
        context.printer.document(deleted, resource_table((deleted,)))
