"""Names of what may crash endpoints: a request, by its digest, or a part of prompts."""

from __future__ import annotations

PART_PREFIX = "part:"


def part_suspect(identifier: str) -> str:
    """Return the name of a part of prompts among the suspects."""
    return f"{PART_PREFIX}{identifier}"


def is_part(suspect: str) -> bool:
    """Return whether a suspect is a part of prompts, not a request."""
    return suspect.startswith(PART_PREFIX)
