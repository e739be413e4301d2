"""Removal of entries that are older than a window."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

KeyT = TypeVar("KeyT")
ValueT = TypeVar("ValueT")


def pop_expired(
    entries: dict[KeyT, ValueT], time_of: Callable[[ValueT], float], horizon: float
) -> list[KeyT]:
    """Remove the entries with a time before ``horizon`` (s) and return their keys.

    The entries must be in the order of their times. They are collected in one pass,
    because each look-up of a dict's first entry skips all entries deleted before it.
    """
    expired = []
    for key, value in entries.items():
        if time_of(value) >= horizon:
            break
        expired.append(key)
    for key in expired:
        del entries[key]
    return expired
