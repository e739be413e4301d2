"""The resource ``budget``."""

from __future__ import annotations

import msgspec


class Budget(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A prepaid budget named ``organisation/budget``, to which top-ups add tokens."""

    organisation: str
    description: str = ""
