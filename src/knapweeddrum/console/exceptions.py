"""Errors of the operators' command line."""

from __future__ import annotations

from knapweeddrum.console.exit_code import ExitCode


class ConsoleError(Exception):
    """A command failed; ``exit_code`` is the exit code to return."""

    def __init__(self, message: str, exit_code: ExitCode) -> None:
        super().__init__(message)
        self.exit_code = exit_code


class ServerUnreachableError(ConsoleError):
    """None of the servers answered."""

    def __init__(self, message: str) -> None:
        super().__init__(message, ExitCode.UNAVAILABLE)
