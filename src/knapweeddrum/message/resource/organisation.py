"""The resource ``organisation``."""

from __future__ import annotations

import msgspec


class Organisation(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A customer; callers present one of the keys with these SHA-256 digests (hex).

    ``weight`` is its share under overload. ``weigh`` overrides the deployment's
    allocation policy when set.
    """

    key_digests: tuple[str, ...]
    weight: int = 1
    weigh: str = ""
