"""Whole numbers in texts from outside this process."""

from __future__ import annotations

MAX_DIGITS = 15
"""Digits up to which a number is read; more make no sense in any of its uses."""


def parse_whole_number(text: str) -> int | None:
    """Return the number that a text of decimal digits names, None for another text."""
    digits = text.strip()
    if not digits.isascii() or not digits.isdecimal() or len(digits) > MAX_DIGITS:
        return None
    return int(digits)
