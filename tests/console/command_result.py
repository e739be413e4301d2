from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class CommandResult:
    """Exit code and output of a command."""

    code: int
    out: str
    err: str
