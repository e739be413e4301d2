"""One wrong field of a request."""

from __future__ import annotations

import msgspec


class FieldError(msgspec.Struct, frozen=True):
    """The field's path, the value it had as text, and what is allowed."""

    field: str
    value: str
    allowed: str
