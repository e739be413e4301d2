"""Base class of the commands."""

from __future__ import annotations

import abc
import argparse
from typing import ClassVar

from knapweeddrum.console.command_context import CommandContext


class Command(abc.ABC):
    """A command with its name, help texts and arguments.

    The docstring of a subclass is shown as the command's description.
    """

    name: ClassVar[str]
    help: ClassVar[str]
    examples: ClassVar[tuple[str, ...]] = ()

    @abc.abstractmethod
    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments."""

    @abc.abstractmethod
    def handle(self, args: argparse.Namespace, context: CommandContext) -> None:
        """Run the command; raises ConsoleError if it fails."""
