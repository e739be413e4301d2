"""The resource ``organisation``."""

from __future__ import annotations

import msgspec


class Organisation(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A customer; callers present one of the keys with these SHA-256 digests (hex).

    ``weight`` is its relative share of the service under overload. ``weigh`` is meant
    to override the setting of the same name; keepers don't read it.
    """

    key_digests: tuple[str, ...]
    weight: int = 1
    weigh: str = ""
