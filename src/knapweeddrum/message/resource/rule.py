"""The resource ``rule``."""

from __future__ import annotations

import msgspec


class Rule(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Whether requests of a route may be repeated.

    Applies to a method (empty: all) and a path prefix; the longest prefix wins. A
    request that no rule covers is repeatable only with GET or HEAD at a plain
    service, and always at a model engine.
    """

    route: str
    method: str = ""
    path_prefix: str = "/"
    repeatable: bool = False
