"""An error document of the resource API."""

from __future__ import annotations

import msgspec

from knapweeddrum.console.exit_code import ExitCode


class FieldError(msgspec.Struct, frozen=True):
    """The path of an invalid field, its value as text, and what is allowed."""

    field: str
    value: str
    allowed: str


class ProblemReply(msgspec.Struct, frozen=True):
    """The members of the error document that the command line uses."""

    detail: str = ""
    reason: str = ""
    retry_after: float = 0.0
    errors: tuple[FieldError, ...] = ()

    def text(self) -> str:
        """Return the problem as lines of text."""
        lines = [f"{self.reason}: {self.detail}"]
        lines += [
            f"  {error.field}: got {error.value}, allowed: {error.allowed}"
            for error in self.errors
        ]
        return "\n".join(lines)


EXIT_CODE_BY_STATUS = {
    401: ExitCode.FAILED,
    404: ExitCode.NOT_FOUND,
    409: ExitCode.CONFLICT,
    413: ExitCode.INVALID,
    422: ExitCode.INVALID,
    503: ExitCode.UNAVAILABLE,
    504: ExitCode.UNKNOWN,
}
"""Exit code by HTTP status of a problem; a status not listed means ``FAILED``."""
