"""Removal of entries that a window no longer covers."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

KeyT = TypeVar("KeyT")
ValueT = TypeVar("ValueT")


def pop_expired(
    entries: dict[KeyT, ValueT], time_of: Callable[[ValueT], float], horizon: float
) -> list[KeyT]:
    """Remove the entries with a time before ``horizon`` (s) and return their keys.

    The entries must stand in the order of their times. They are collected in one
    pass: finding a dict's first entry costs a step for each one removed before it.
    """
    expired = []
    for key, value in entries.items():
        if time_of(value) >= horizon:
            break
        expired.append(key)
    for key in expired:
        del entries[key]
    return expired
