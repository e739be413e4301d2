"""The command ``apply``."""

from __future__ import annotations

import argparse
import pathlib
import uuid

import msgspec

from knapweeddrum.console.command_context import CommandContext
from knapweeddrum.console.commands.command import Command
from knapweeddrum.console.control_client import ControlClient
from knapweeddrum.console.declared_resource import (
    DeclaredResource,
    ResourceChangeBody,
)
from knapweeddrum.console.exceptions import ConsoleError
from knapweeddrum.console.exit_code import ExitCode
from knapweeddrum.console.paths import resource_path
from knapweeddrum.console.resource_file import read_resources
from knapweeddrum.console.resource_reply import ResourceReply, resource_table


class ApplyCommand(Command):
    """Declare resources; a change is read back from the log before it is reported."""

    name = "apply"
    help = "declare the resources of a file"
    examples = (
        "knapweedctl apply resources.jsonc",
        "knapweedctl apply --base-version 3 route.jsonc",
    )

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments."""
        parser.add_argument(
            "file",
            type=pathlib.Path,
            help="JSON with comments: one resource {kind, name, spec} or a list, "
            "applied in order up to the first that fails",
        )
        parser.add_argument(
            "--base-version",
            type=int,
            help="version that the change replaces, 0 for a new resource; without it "
            "the current version is read first. Only with a single resource",
        )
        parser.add_argument(
            "--change-id",
            default="",
            help="identifier of the change, to repeat one whose outcome is unknown. "
            "Only with a single resource and --base-version",
        )

    def handle(self, args: argparse.Namespace, context: CommandContext) -> None:
        """Apply the file."""
        resources = read_resources(args.file)
        _check_usage(args, len(resources))
        applied: list[ResourceReply] = []
        try:
            for resource in resources:
                applied.append(_apply(resource, args, context))
        finally:
            context.printer.documents(applied, resource_table(applied))


def _check_usage(args: argparse.Namespace, count: int) -> None:
    """Raise ConsoleError for options that fit neither the file nor each other."""
    single = args.base_version is not None or args.change_id
    if single and count != 1:
        raise ConsoleError(
            f"--base-version and --change-id take one resource, the file has {count}",
            ExitCode.USAGE,
        )
    if args.change_id and args.base_version is None:
        raise ConsoleError("--change-id needs --base-version", ExitCode.USAGE)


def _apply(
    resource: DeclaredResource, args: argparse.Namespace, context: CommandContext
) -> ResourceReply:
    path = resource_path(resource.kind, resource.name)
    version = args.base_version
    if version is None:
        version = _current_version(context.client, path)
    body = msgspec.json.encode(ResourceChangeBody(version, resource.spec))
    change_id = args.change_id or uuid.uuid4().hex
    try:
        reply = context.client.request("PUT", path, body, change_id, context.author)
    except ConsoleError as exc:
        message = f"{resource.kind} {resource.name}: {exc}"
        raise ConsoleError(message, exc.exit_code) from exc
    return reply.decode(ResourceReply)


def _current_version(client: ControlClient, path: str) -> int:
    """Return the version of a resource, 0 when it doesn't exist."""
    try:
        reply = client.request("GET", path)
    except ConsoleError as exc:
        if exc.exit_code is ExitCode.NOT_FOUND:
            return 0
        raise
    return reply.decode(ResourceReply).version
