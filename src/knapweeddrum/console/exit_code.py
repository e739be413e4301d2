"""Exit codes of the binaries."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """Exit codes of all binaries; docs/OPERATIONS.md describes them."""

    OK = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    NOT_FOUND = 5
    INVALID = 6
    UNKNOWN = 7
